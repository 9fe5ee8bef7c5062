/** @file cove-entry: serves callers' requests and routes them to targets. */

#include "entry/entry_process.h"
#include "log/log_func.h"
#include "settings/program.h"

#include <random>

namespace {

std::uint64_t random_number()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

int run(cove::entry_settings const& settings)
{
    cove::start_log("cove-entry", settings.node);
    cove::incarnation_id const incarnation{random_number()};
    cove::entry_process process(settings, incarnation, random_number());
    if (auto const started = process.start(); !started) {
        cove::log_event("start_failed", {{"error", to_string(started.error())}});
        return cove::exit_failed;
    }
    cove::log_event("started",
                    {{"zone", settings.zone}, {"incarnation", std::to_string(incarnation.value)}});
    cove::wait_for_stop_signal();
    process.stop();
    cove::log_event("stopped");
    return cove::exit_ok;
}

} // namespace

int main(int argc, char** argv)
{
    return cove::run_program<cove::entry_settings>(
        argc, argv, "cove-entry serves callers' requests on one entry host.",
        cove::entry_settings_table(), run);
}
