#pragma once
/** @file Entry hosts over loopback; the test acts as client, targets and store. */

#include "host/entry_host.h"
#include "support/exchange_once.h"
#include "support/free_port.h"
#include "support/position.h"
#include "support/scripted_server.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace cove {

inline std::string settings_text(std::string const& changed = "", std::string const& value = "")
{
    nlohmann::json settings{{"name", "h1"},
                            {"zone", "east"},
                            {"region", "r"},
                            {"regions", {{"east", "r"}}},
                            {"client_address", loopback(free_port())},
                            {"readiness_address", loopback(free_port())},
                            {"directory_address", loopback(free_port())},
                            {"metrics_address", loopback(free_port())},
                            {"ip", "127.0.0.1"},
                            {"peer_port", free_port()},
                            {"relay_port", free_port()},
                            {"seeds", nlohmann::json::array()},
                            {"store_address", "127.0.0.1:9"},
                            {"store_silence_max", "3s"},
                            {"heartbeat", "1500ms"},
                            {"drain", "2s"},
                            {"grace", "2s"},
                            {"answer_lifetime_max", "5s"},
                            {"repeat_ratio", 0.2},
                            {"repeat_window", "10s"},
                            {"repeat_slack", 50},
                            {"shift_cap", 0.15},
                            {"memory_mb", 80},
                            {"max_descriptors", 0},
                            {"key_withdrawal_max", "0s"},
                            {"quota_window", "5s"},
                            {"quota_overage", 0},
                            {"quota_slack", 0},
                            {"first_start", false}};
    if (!changed.empty()) {
        settings[changed] = nlohmann::json::parse(value);
    }
    return settings.dump();
}

inline std::string response(std::string const& status, std::string const& fields,
                            std::string const& body = "")
{
    return "HTTP/1.1 " + status + "\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string const served =
    response("200 OK", "Attempt: a1\r\nSignature: s\r\n", "whole body");

/** The platform's formats as the tests speak them. */
inline host_wire_format test_wire_format()
{
    host_wire_format wire;
    wire.names = {"Attempt", "Deadline", "Object", "Expected",  "Signature", "Not-Run",
                  "Load",    "Leaving",  "Limit",  "Workspace", "Token"};
    wire.ready_path = "/ready";
    wire.parse_lookup = [](std::string const&) {
        return lookup_request{"desk.example", zone_id("east")};
    };
    wire.lookup_body = [](std::vector<std::string> const& addresses, milliseconds) {
        return nlohmann::json(addresses).dump();
    };
    return wire;
}

/** A store that never calls back; tests call the hooks themselves. */
inline store_calls silent_store()
{
    follow_calls calls;
    calls.list = [](read_freshness, follow_calls::done const&) {};
    calls.watch = [](store_position, watch_times, follow_calls::done const&) {};
    calls.abort = [] {};
    store_calls port;
    port.config = port.targets = port.evacuations = calls;
    port.register_host = [](host_record const&, bool, std::function<void(bool)> const&) {};
    port.list_hosts = [](std::function<void(bool)> const&) {};
    return port;
}

/** @return a configuration with one route to the service `desk`. */
inline config_document desk_config(std::uint64_t version, std::string const& prefix,
                                   bool idempotent = false)
{
    config_document document;
    document.text = "text";
    document.config.version = generation(version);
    route_config route;
    route.name = route_id("route");
    route.host = "desk.example";
    route.prefix = prefix;
    route.idempotent = idempotent;
    route.timeout = milliseconds{1000};
    route.objective = milliseconds{500};
    route.max_attempts = 2;
    route.services = {{service_id("desk"), 1}};
    document.config.routes = {route};
    document.config.services[service_id("desk")] = {service_id("desk"), "/h", 9, milliseconds{3000},
                                                    10};
    document.config.limits = {16384, 1 << 20, milliseconds{3000}, milliseconds{15'000}};
    return document;
}

/** @return entries `t0`, `t1`, … of the service `desk` at the addresses of @p servers. */
inline std::vector<target_entry> desk_targets(std::vector<scripted_server*> const& servers)
{
    std::vector<target_entry> entries;
    for (std::size_t i = 0; i < servers.size(); ++i) {
        target_entry entry;
        entry.id = target_id("t" + std::to_string(i));
        entry.service = service_id("desk");
        entry.address = servers[i]->address();
        entry.zone = zone_id("east");
        entry.slots = 4;
        entries.push_back(entry);
    }
    return entries;
}

/** An entry host whose store is simulated by the test. */
class host_case : public testing::Test {
protected:
    host_case() : timers(loop)
    {
        auto const settings = host_settings_table().parse(settings_text(), "test");
        EXPECT_TRUE(settings);
        client_address = settings->client_address;
        ready_address = settings->readiness_address;
        directory_address = settings->directory_address;
        metrics_address = settings->metrics_address;
        relay_address = loopback(settings->relay_port);
        host = std::make_unique<entry_host>(
            loop, timers, *settings, test_wire_format(), [settings] { return *settings; },
            [this](store_hooks hooks) {
                store = std::move(hooks);
                return silent_store();
            });
        EXPECT_TRUE(host->start());
    }

    void configure(std::uint64_t version, std::string const& prefix, bool idempotent = false)
    {
        store.config(desk_config(version, prefix, idempotent));
    }

    void list(std::vector<scripted_server*> const& servers, std::uint64_t at = 1)
    {
        store.targets_listed({desk_targets(servers), position(at)});
    }

    /** Sends one request and waits for its answer. */
    exchange_result ask(std::string const& address, std::string const& target,
                        std::string const& body = "")
    {
        http_request request(boost::beast::http::verb::put, target, 11);
        request.set(boost::beast::http::field::host, "desk.example");
        request.set("Attempt", "a1");
        request.set("Deadline", "1500");
        request.body() = body;
        request.prepare_payload();
        return exchange_once(loop, address, std::move(request));
    }

    unsigned status(std::string const& target)
    {
        return ask(client_address, target).response.result_int();
    }

    boost::asio::io_context loop;
    loop_timers timers;
    store_hooks store;
    std::string client_address;
    std::string ready_address;
    std::string directory_address;
    std::string metrics_address;
    std::string relay_address;
    std::unique_ptr<entry_host> host;
};

} // namespace cove
