/** @file standin-store: test server for the platform's object store; API in object_store.h. */

#include "log/log_func.h"
#include "net/threaded_http_server.h"
#include "settings/program.h"
#include "standin/object_store.h"
#include "store/store_api.h"

namespace {

struct store_settings {
    std::string name;
    std::string address;
    std::string host_list_file;
};

cove::settings_table<store_settings> const& table()
{
    static cove::settings_table<store_settings> const table = [] {
        cove::settings_table<store_settings> t;
        t.text("name", &store_settings::name, "name of this store in the log");
        t.ip_port("address", &store_settings::address,
                  "address to listen on for bridges and operators");
        t.text("host_list_file", &store_settings::host_list_file, "file with the initial host list")
            .optional();
        return t;
    }();
    return table;
}

int run(store_settings const& settings)
{
    cove::start_log("standin-store", settings.name);
    cove::object_store store;
    if (!settings.host_list_file.empty()) {
        auto hosts = cove::read_file(settings.host_list_file);
        if (!hosts) {
            cove::log_event("start_failed", {{"error", to_string(hosts.error())}});
            return cove::exit_failed;
        }
        store.put(cove::store_api::host_list_object, std::move(*hosts));
    }
    cove::threaded_http_server server(settings.address,
                                      [&](httplib::Server& routes) { store.add_routes(routes); });
    if (auto const started = server.start(); !started) {
        cove::log_event("start_failed", {{"error", to_string(started.error())}});
        return cove::exit_failed;
    }
    cove::log_event("started", {{"address", settings.address}});
    cove::wait_for_stop_signal();
    store.close();
    server.stop();
    cove::log_event("stopped");
    return cove::exit_ok;
}

} // namespace

int main(int argc, char** argv)
{
    return cove::run_program<store_settings>(
        argc, argv, "standin-store simulates the platform's object store.", table(), run);
}
