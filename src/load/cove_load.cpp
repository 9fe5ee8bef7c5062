/** @file cove-load: load generator that reports outcomes and latencies as seen by callers. */

#include "load/load_run.h"
#include "log/log_func.h"
#include "settings/program.h"

#include <fstream>
#include <iostream>

namespace {

int run(cove::load_settings const& settings)
{
    if (settings.lookup_addresses.empty() == settings.target_addresses.empty()) {
        std::cerr
            << "settings.check: exactly one of lookup_addresses and target_addresses must be set\n";
        return cove::exit_usage;
    }
    cove::load_run load(settings);
    cove::load_results const results = load.run();
    auto const report = results.to_json(settings.name);
    if (!settings.report_file.empty()) {
        std::ofstream(settings.report_file) << report.dump(2) << "\n";
    }
    std::cout << results.to_table() << "counts " << report["counts"].dump() << "\n";
    return results.counts.lost == 0 && results.counts.wrong_answer == 0 ? cove::exit_ok
                                                                        : cove::exit_failed;
}

} // namespace

int main(int argc, char** argv)
{
    return cove::run_program<cove::load_settings>(
        argc, argv, "cove-load generates caller requests and reports their outcomes and latencies.",
        cove::load_settings_table(), run);
}
