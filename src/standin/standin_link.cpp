/** @file standin-link: TCP forwarder that simulates a link between availability zones. */

#include "log/log_func.h"
#include "net/threaded_http_server.h"
#include "settings/program.h"
#include "standin/standin_link_server.h"

#include <charconv>
#include <optional>

namespace {

cove::milliseconds parse_ms(httplib::Request const& request, char const* name)
{
    std::string const text = request.get_param_value(name);
    std::int64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return cove::milliseconds(value);
}

void add_routes(httplib::Server& routes, cove::standin_link_server& link)
{
    routes.Post("/admin/cut",
                [&](httplib::Request const&, httplib::Response&) { link.set_cut(true); });
    routes.Post("/admin/mend",
                [&](httplib::Request const&, httplib::Response&) { link.set_cut(false); });
    routes.Post("/admin/delay", [&](httplib::Request const& request, httplib::Response&) {
        link.set_delay(parse_ms(request, "delay_ms"), parse_ms(request, "jitter_ms"));
    });
}

int run(cove::link_settings const& settings)
{
    cove::start_log("standin-link", settings.name);
    cove::standin_link_server link(settings);
    std::optional<cove::threaded_http_server> admin;
    auto started = link.start();
    if (started && !settings.admin_address.empty()) {
        admin.emplace(settings.admin_address,
                      [&](httplib::Server& routes) { add_routes(routes, link); });
        started = admin->start();
    }
    if (!started) {
        cove::log_event("start_failed", {{"error", to_string(started.error())}});
        return cove::exit_failed;
    }
    cove::log_event("started");
    cove::wait_for_stop_signal();
    cove::log_event("stopped", {{"bytes", std::to_string(link.bytes())}});
    return cove::exit_ok;
}

} // namespace

int main(int argc, char** argv)
{
    return cove::run_program<cove::link_settings>(
        argc, argv, "standin-link simulates a network link between availability zones.",
        cove::link_settings_table(), run);
}
