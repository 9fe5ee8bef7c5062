/** @file cove-process-soak: entry hosts as processes between stand-ins, under random faults. */

#include "process_soak/process_soak.h"
#include "settings/program.h"

#include <boost/program_options.hpp>
#include <csignal>
#include <filesystem>
#include <iostream>
#include <map>

namespace {

namespace po = boost::program_options;

constexpr std::size_t lines_per_rule = 12;

int report(cove::process_soak_options const& options, cove::process_soak_outcome const& out)
{
    if (!out.started) {
        std::printf("process soak seed=%lu: the hosts did not start\n", options.seed);
        return cove::exit_usage;
    }
    std::map<std::string, std::size_t> counts;
    for (cove::rule_violation const& each : out.violations) {
        if (++counts[each.rule] <= lines_per_rule) {
            std::printf("violation %s %s: %s\n", each.rule.c_str(), each.attempt.c_str(),
                        each.detail.c_str());
        }
    }
    for (cove::force_time const& each : out.force_times) {
        std::printf(
            "version %d logged in force by the last host in touch after %ld ms at most (%s)\n",
            each.version, static_cast<long>(each.late.count()), each.host.c_str());
    }
    std::printf("process soak seed=%lu seconds=%ld requests=%zu answered=%zu runs=%zu ended=%d",
                options.seed, static_cast<long>(options.duration.count()), out.requests,
                out.answered, out.runs, out.ended_unasked);
    for (char const* rule :
         {"CONFIG", "HOME", "ROUTE", "REFUSED", "TWICE", "DRAIN", "EVAC", "LOST"}) {
        std::printf(" %s=%zu", rule, counts[rule]);
    }
    std::printf("\n");
    return out.violations.empty() && out.ended_unasked == 0 ? cove::exit_ok : cove::exit_failed;
}

} // namespace

int main(int argc, char** argv)
{
    cove::process_soak_options options;
    std::string schedule = "mixed";
    long duration_s = options.duration.count();
    po::options_description description("Options");
    auto add = description.add_options();
    add("help", "show this help");
    add("seed", po::value(&options.seed), "of the schedule of faults and changes");
    add("seconds", po::value(&duration_s), "length of the run");
    add("program", po::value(&options.program)->required(), "the entry host, cove-host");
    add("directory", po::value(&options.folder)->required(), "folder for settings and logs");
    add("schedule", po::value(&schedule),
        "of faults: mixed, or the store is silent and the configuration changes in series: "
        "blind-followers, blind-share, blind-zone");
    add("zones", po::value(&options.shape.zones), "zones, each in a region of its own");
    add("hosts-per-zone", po::value(&options.shape.hosts_per_zone), "entry hosts of each zone");
    add("targets", po::value(&options.shape.targets), "targets, spread over the zones");
    add("listed-targets", po::value(&options.shape.listed_targets),
        "further targets in the store's list, which no request is for");
    add("clients-per-host", po::value(&options.shape.clients_per_host), "clients of each host");
    po::variables_map variables;
    try {
        po::store(po::parse_command_line(argc, argv, description), variables);
        if (variables.count("help") != 0) {
            std::cout << description;
            return cove::exit_ok;
        }
        po::notify(variables);
    }
    catch (po::error const& error) {
        std::cerr << error.what() << "\n";
        return cove::exit_usage;
    }
    auto const kind = cove::schedule_kind_of(schedule);
    if (!kind) {
        std::cerr << "unknown schedule " << schedule << "\n";
        return cove::exit_usage;
    }
    options.schedule = *kind;
    std::signal(SIGPIPE, SIG_IGN); // a write to a closed connection returns an error instead
    std::filesystem::create_directories(options.folder);
    options.duration = cove::seconds(duration_s);
    return report(options, cove::run_process_soak(options));
}
