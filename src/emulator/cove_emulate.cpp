/** @file Emulates a zone under load and prints what its clients get. */

#include "emulator/zone_emulator.h"

#include <boost/program_options.hpp>
#include <cstdio>
#include <iostream>

namespace options = boost::program_options;

int main(int argc, char** argv)
{
    cove::emulation_settings zone;
    double load = 1;
    int length_s = 0;
    options::options_description description("Emulates one availability zone under load");
    auto add = description.add_options();
    add("help", "show this text");
    add("hosts", options::value(&zone.hosts)->default_value(14), "entry hosts");
    add("targets", options::value(&zone.targets)->default_value(48), "targets");
    add("slots", options::value(&zone.slots)->default_value(3), "slots of a target");
    add("queue", options::value(&zone.queue)->default_value(9), "queue of a target, in requests");
    add("warm", options::value(&zone.warm_objects)->default_value(16),
        "objects kept warm by a target");
    add("load", options::value(&load)->default_value(1), "multiplies the arrival rates");
    add("length", options::value(&length_s)->default_value(30), "length, in seconds");
    add("seed", options::value(&zone.seed)->default_value(1), "seed of all random choices");
    int objects = 0;
    add("objects", options::value(&objects)->default_value(317), "distinct objects");
    options::variables_map given;
    try {
        options::store(options::parse_command_line(argc, argv, description), given);
        options::notify(given);
    }
    catch (options::error const& error) {
        std::cerr << "cove-emulate: " << error.what() << "\n" << description;
        return 2;
    }
    if (given.contains("help")) {
        std::cout << description;
        return 0;
    }
    zone.length = cove::seconds(length_s);
    zone.report_interval = cove::milliseconds{250};
    using cove::milliseconds;
    zone.classes = {{"read", 180 * load, objects * 5 / 7, milliseconds{640}, 0.3, milliseconds{400},
                     milliseconds{1500}, milliseconds{3000}, 2, true, 1, 0.2},
                    {"write", 73 * load, objects * 2 / 7, milliseconds{840}, 0.3, milliseconds{600},
                     milliseconds{2500}, milliseconds{4000}, 1, false, 2, 0.4}};
    cove::emulation_report const report = cove::zone_emulator(zone).run();
    std::printf("credit %.3f, runs warm %d, cold %d, refused by targets %d, client retries %d\n",
                report.credit(), report.warm_runs, report.cold_runs, report.refused_by_targets,
                report.client_retries);
    for (auto const& [name, outcome] : report.classes) {
        std::printf("%-8s asked %6d in objective %6d late %6d refused %6d failed %6d\n",
                    name.c_str(), outcome.asked, outcome.in_objective, outcome.late,
                    outcome.refused, outcome.failed);
    }
    for (std::size_t second = 0; second < report.seconds.size(); ++second) {
        cove::emulated_outcome const& at = report.seconds[second];
        std::printf("second %2zu credit %.3f\n", second, at.owed > 0 ? at.earned / at.owed : 0);
    }
}
