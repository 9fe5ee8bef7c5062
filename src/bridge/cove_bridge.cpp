/** @file cove-bridge: the only program of an entry host that talks to the platform's store. */

#include "bridge/bridge_process.h"
#include "log/log_func.h"
#include "settings/program.h"

#include <random>

namespace {

int run(cove::bridge_settings const& settings)
{
    cove::start_log("cove-bridge", settings.node);
    cove::bridge_process process(settings, std::random_device{}());
    if (auto const started = process.start(); !started) {
        cove::log_event("start_failed", {{"error", to_string(started.error())}});
        return cove::exit_failed;
    }
    cove::log_event("started", {{"store", settings.store_address}});
    cove::wait_for_stop_signal();
    cove::log_event("stopped");
    return cove::exit_ok;
}

} // namespace

int main(int argc, char** argv)
{
    return cove::run_program<cove::bridge_settings>(
        argc, argv,
        "cove-bridge forwards the platform's configuration and host list to its entry host.",
        cove::bridge_settings_table(), run);
}
