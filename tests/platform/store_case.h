#pragma once
/** @file An entry host before a store of the platform, over a link that can be cut. */

#include "platform/store_client.h"
#include "support/cut_link.h"
#include "support/host_case.h"
#include "support/returning_store.h"

namespace cove {

inline constexpr milliseconds contact{3000}; ///< the shortest of the deployments
inline constexpr milliseconds drain{2000};   ///< the same

/** A ready host of the name `h1` whose store has two targets. */
class store_case : public testing::Test {
protected:
    store_case() : timers(loop), store(loop), link(loop, store.endpoint())
    {
        store.put("config", "main", nlohmann::json::parse(config_text));
        store.put("servers", "t0", target("10.0.0.1:80"));
        store.put("servers", "t1", target("10.0.0.2:80"));
        auto const settings = host_settings_table().parse(settings_text(), "test");
        EXPECT_TRUE(settings);
        metrics_address = settings->metrics_address;
        host = std::make_unique<entry_host>(
            loop, timers, *settings, test_wire_format(), [settings] { return *settings; },
            [this](store_hooks hooks) {
                client =
                    std::make_unique<store_client>(loop, timers, link.address(), std::move(hooks));
                return client->calls();
            });
    }

    static nlohmann::json target(std::string const& address, std::string const& state = "ready")
    {
        return {{"address", address},
                {"born", 1000},
                {"info", {{"service", "desk"}, {"slots", 3}, {"zone", "east"}}},
                {"status", {{"cold_remaining", "0ms"}, {"seq", 1}, {"state", state}}}};
    }

    /** @return a metric of the host, or -1 if it has none of that name. */
    long metric(std::string const& name)
    {
        http_request request(boost::beast::http::verb::get, "/metrics", 11);
        std::string const text =
            exchange_once(loop, metrics_address, std::move(request)).response.body();
        auto const at = text.find("\n" + name + " ");
        return at == std::string::npos ? -1 : std::stol(text.substr(at + name.size() + 2));
    }

    void run_for(milliseconds time)
    {
        run_until(
            loop, [] { return false; }, time);
    }

    bool becomes(std::string const& name, long value, milliseconds time)
    {
        return run_until(
            loop, [&] { return metric(name) == value; }, time);
    }

    /** Lets the host follow the store. */
    void start()
    {
        ASSERT_TRUE(host->start());
        ASSERT_TRUE(becomes("cove_targets", 2, contact));
        ASSERT_TRUE(becomes("cove_follows_store", 1, contact));
    }

    static constexpr char const* config_text =
        R"({"version":"00000005","resources":[{"resource_kind":"limits","metadata":{},"spec":
        {"max_header_bytes":16384,"max_body_bytes":100000,"header_timeout":"3s",
        "idle_timeout":"15s"}}]})";

    boost::asio::io_context loop;
    loop_timers timers;
    returning_store store;
    cut_link link; ///< between host and store
    std::string metrics_address;
    std::unique_ptr<store_client> client;
    std::unique_ptr<entry_host> host;
};

} // namespace cove
