/** @file standin-target: test target that journals every operation it runs. */

#include "log/log_func.h"
#include "settings/program.h"
#include "standin/standin_target_server.h"

#include <csignal>
#include <unistd.h>

namespace {

int run(cove::target_settings const& settings)
{
    cove::start_log("standin-target", settings.name);
    cove::standin_target_server target(settings, [] { ::kill(::getpid(), SIGTERM); });
    if (auto const started = target.start(); !started) {
        cove::log_event("start_failed", {{"error", to_string(started.error())}});
        return cove::exit_failed;
    }
    cove::log_event("started");
    cove::wait_for_stop_signal();
    cove::log_event("leaving");
    target.drain();
    cove::log_event("stopped");
    return cove::exit_ok;
}

} // namespace

int main(int argc, char** argv)
{
    return cove::run_program<cove::target_settings>(
        argc, argv, "standin-target simulates a target in tests and demonstrations.",
        cove::target_settings_table(), run);
}
