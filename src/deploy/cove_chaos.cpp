/** @file cove-chaos: runs a deployment under a seeded schedule of faults and checks every answer.
 */

#include "deploy/process_fault_schedule.h"
#include "settings/program.h"

#include <boost/program_options.hpp>
#include <fstream>
#include <iostream>
#include <thread>

namespace {

using cove::local_deployment;
using cove::milliseconds;
using cove::seconds;

constexpr int base_port = 23200;
constexpr int target_percent = 50;      ///< share that is started, to run fewer than 60 processes
constexpr seconds load_end_timeout{40}; ///< a load run must end within this time of its faults
constexpr seconds settle_time{3};       ///< between the faults and the planned stops
constexpr char const* faults_load = "faults";
constexpr char const* stops_load = "stops";

struct chaos_options {
    std::string deployment;
    std::string directory;
    std::string programs;
    int seed = 1;
    int duration_s = 60;
    int rate = 100;
};

/** Runs one load and @p inject_faults at the same time. @return whether the load run ended. */
bool run_phase(local_deployment& running, cove::local_load const& load,
               std::function<void(seconds)> const& inject_faults)
{
    auto const child = running.start_load(load);
    inject_faults(load.duration);
    return child->wait(load_end_timeout).has_value();
}

int report(local_deployment const& running, chaos_options const& options)
{
    auto const check = running.check({faults_load, stops_load});
    auto const stops = running.check({stops_load});
    auto const faults_report = running.report(faults_load);
    auto const stops_report = running.report(stops_load);
    if (!check || !stops || !faults_report.is_object() || !stops_report.is_object()) {
        std::cerr
            << "an operation log, a target journal or a load report is missing or malformed\n";
        return cove::exit_failed;
    }
    for (std::string const& example : check->examples) {
        std::cout << "violation " << example << "\n";
    }
    auto const sum = [&](char const* name) {
        return faults_report["counts"][name].get<std::uint64_t>() +
               stops_report["counts"][name].get<std::uint64_t>();
    };
    std::uint64_t const cut_off =
        stops->lost + stops_report["counts"]["unknown"].get<std::uint64_t>();
    std::cout << "chaos seed=" << options.seed << " requests=" << sum("requests")
              << " done=" << sum("done") << " not_run=" << sum("not_run")
              << " unknown=" << sum("unknown") << " lost=" << check->lost
              << " doubled=" << check->doubled << " false_not_run=" << check->false_not_run
              << " wrong_answer=" << check->wrong_answer << " cut_off=" << cut_off
              << " generation_fell=not_checked" << std::endl; // NOLINT(performance-avoid-endl)
    return check->examples.empty() && cut_off == 0 ? cove::exit_ok : cove::exit_failed;
}

int run(chaos_options const& options)
{
    cove::layout_options layout_settings{options.deployment, options.directory, base_port};
    layout_settings.target_percent = target_percent;
    layout_settings.links = true;
    auto plan = cove::make_layout(layout_settings);
    if (!plan) {
        std::cerr << to_string(plan.error()) << "\n";
        return cove::exit_usage;
    }
    local_deployment running(std::move(*plan), options.programs);
    if (auto const started = running.start(); !started) {
        std::cerr << to_string(started.error()) << "\n";
        return cove::exit_failed;
    }
    std::ofstream journal(running.plan().file("faults", "journal"));
    cove::process_fault_schedule faults(running, static_cast<std::uint64_t>(options.seed), journal);
    seconds const half(std::max(1, options.duration_s / 2));
    bool all_ended = run_phase(running, {faults_load, options.rate, half, 3, 5, 3, options.seed},
                               [&](seconds duration) { faults.run(duration); });
    std::this_thread::sleep_for(settle_time);
    all_ended = run_phase(running, {stops_load, options.rate, half, 3, 0, 0, options.seed + 1},
                          [&](seconds duration) { faults.run_planned_stops(duration); }) &&
                all_ended;
    if (!all_ended) {
        std::cerr << "a load run did not end within " << load_end_timeout.count()
                  << " s after its faults\n";
    }
    return report(running, options);
}

} // namespace

int main(int argc, char** argv)
{
    namespace po = boost::program_options;
    chaos_options parsed;
    po::options_description options("Options");
    auto add = options.add_options();
    add("deployment", po::value(&parsed.deployment)->default_value("mreznik"),
        "sample deployment: mreznik or fundusz");
    add("directory", po::value(&parsed.directory)->required(),
        "directory for settings, logs and journals");
    add("programs", po::value(&parsed.programs)->default_value("build"),
        "directory of the built programs");
    add("seed", po::value(&parsed.seed)->required(), "seed of the fault schedule and of the load");
    add("seconds", po::value(&parsed.duration_s)->default_value(parsed.duration_s),
        "duration: half under faults, half under planned stops");
    add("rate", po::value(&parsed.rate)->default_value(parsed.rate), "requests per second");
    add("help", "show this help");
    if (auto const done = cove::read_command_line(
            argc, argv, options,
            "cove-chaos runs a deployment under faults and checks every answer.")) {
        return *done;
    }
    return run(parsed);
}
