/** @file cove-demo: runs a sample deployment under load and drains parts of it. */

#include "deploy/local_deployment.h"
#include "settings/program.h"

#include <boost/program_options.hpp>
#include <csignal>
#include <fstream>
#include <iostream>
#include <thread>

namespace {

using cove::local_deployment;
using cove::milliseconds;
using cove::seconds;

constexpr milliseconds sample_interval{200};
constexpr seconds drain_timeout{30};
constexpr seconds load_end_timeout{30}; ///< how long a load run may exceed its duration
constexpr int base_port = 22200;
constexpr char const* load_name = "load";

struct demo_options {
    std::string deployment;
    std::string directory;
    std::string programs;
    int duration_s = 30;
    int rate = 300;
};

/** Records the lowest share of free slots of each region. */
class headroom_monitor {
public:
    void sample(local_deployment const& running)
    {
        for (auto const& [region, utilization] : running.region_utilization()) {
            auto const [lowest, inserted] = lowest_.emplace(region, 1.0 - utilization);
            lowest->second =
                inserted ? lowest->second : std::min(lowest->second, 1.0 - utilization);
        }
    }

    void print() const
    {
        std::cout << "\nregion           lowest headroom\n";
        for (auto const& [region, share] : lowest_) {
            std::printf("%-16s %.0f%%\n", region.c_str(), share * 100);
        }
    }

private:
    std::map<std::string, double> lowest_;
};

/** Stops the process @p name gracefully and prints how long that took. */
void drain(local_deployment& running, std::string const& name)
{
    auto const begin = cove::read_clocks().mono;
    running.process(name).signal(SIGTERM);
    bool const ended = running.process(name).wait(drain_timeout).has_value();
    auto const elapsed = std::chrono::duration_cast<milliseconds>(cove::read_clocks().mono - begin);
    std::cout << "drain " << name << (ended ? " ended after " : " is still running after ")
              << elapsed.count() << " ms" << std::endl; // NOLINT(performance-avoid-endl)
}

/** @return the name of the last process of @p kind, in the order of the layout. */
std::string last_process_of_kind(cove::layout const& plan, cove::process_kind kind)
{
    std::string name;
    for (cove::layout_process const& item : plan.processes) {
        if (item.kind == kind) {
            name = item.name;
        }
    }
    return name;
}

/** Drains an entry host and a target while @p load runs, and samples the headroom. */
void drain_during_load(local_deployment& running, cove::child_process& load, seconds duration)
{
    headroom_monitor headroom;
    auto const begin = cove::read_clocks().mono;
    std::jthread drains([&] {
        std::this_thread::sleep_until(begin + duration / 3);
        drain(running, last_process_of_kind(running.plan(), cove::process_kind::entry));
        std::this_thread::sleep_until(begin + duration / 2);
        drain(running, last_process_of_kind(running.plan(), cove::process_kind::target));
    });
    while (load.running() && cove::read_clocks().mono < begin + duration + load_end_timeout) {
        headroom.sample(running);
        std::this_thread::sleep_for(sample_interval);
    }
    drains.join();
    headroom.print();
}

int run(demo_options const& options)
{
    auto plan = cove::make_layout({options.deployment, options.directory, base_port, 2});
    if (!plan) {
        std::cerr << to_string(plan.error()) << "\n";
        return cove::exit_usage;
    }
    local_deployment running(std::move(*plan), options.programs);
    if (auto const started = running.start(); !started) {
        std::cerr << to_string(started.error()) << "\n";
        return cove::exit_failed;
    }
    std::cout << running.plan().processes.size() << " processes are running; " << options.rate
              << " requests/s for " << options.duration_s << " s\n";
    seconds const duration(options.duration_s);
    auto const load = running.start_load({load_name, options.rate, duration, 2, 2, 0, 1});
    drain_during_load(running, *load, duration);
    auto const check = running.check({load_name});
    auto const report = running.report(load_name);
    if (!check || !report.is_object()) {
        std::cerr << (check ? "the load report is missing or malformed" : to_string(check.error()))
                  << "\n";
        return cove::exit_failed;
    }
    std::cout << "\n" << std::ifstream(running.plan().file(load_name, "log")).rdbuf() << "\n";
    for (std::string const& example : check->examples) {
        std::cout << "violation " << example << "\n";
    }
    auto const& counts = report["counts"];
    std::cout << "demo deployment=" << options.deployment << " requests=" << counts["requests"]
              << " done=" << counts["done"] << " not_run=" << counts["not_run"]
              << " unknown=" << counts["unknown"] << " lost=" << check->lost
              << " doubled=" << check->doubled << std::endl; // NOLINT(performance-avoid-endl)
    return check->lost == 0 && check->doubled == 0 ? cove::exit_ok : cove::exit_failed;
}

} // namespace

int main(int argc, char** argv)
{
    namespace po = boost::program_options;
    demo_options parsed;
    po::options_description options("Options");
    auto add = options.add_options();
    add("deployment", po::value(&parsed.deployment)->default_value("mreznik"),
        "sample deployment: mreznik or fundusz");
    add("directory", po::value(&parsed.directory)->required(),
        "directory for settings, logs and journals");
    add("programs", po::value(&parsed.programs)->default_value("build"),
        "directory of the built programs");
    add("seconds", po::value(&parsed.duration_s)->default_value(parsed.duration_s),
        "duration of the load");
    add("rate", po::value(&parsed.rate)->default_value(parsed.rate), "requests per second");
    add("help", "show this help");
    if (auto const done = cove::read_command_line(
            argc, argv, options, "cove-demo runs a sample deployment on this machine.")) {
        return *done;
    }
    return run(parsed);
}
