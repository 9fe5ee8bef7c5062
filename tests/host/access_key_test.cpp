/** @file Requests with access keys at entry hosts over loopback. */

#include "support/host_case.h"
#include "workspace/access_key.h"

namespace cove {
namespace {

constexpr milliseconds withdrawal_max{5000};

/** Hosts of one zone before one store and one target. */
class access_key_case : public testing::Test {
protected:
    static constexpr std::size_t host_count = 3; ///< the last one does not follow the store

    access_key_case()
        : timers(loop), target(loop, [](std::string const&) { return scripted_answer{served}; })
    {
        document = desk_config(1, "/a/");
        route_config open = document.config.routes.front();
        open.name = route_id("open");
        open.prefix = "/open/";
        open.is_public = true;
        document.config.routes.push_back(open);
        document.config.has_workspaces = true;
        document.config.workspaces = {{workspace_id("ws"), {"key-1"}, {}, {}, {}},
                                      {workspace_id("other"), {"key-2"}, {}, {}, {}}};
    }

    void start()
    {
        nlohmann::json settings = nlohmann::json::parse(settings_text());
        settings["seeds"] = {"127.0.0.11:1"};
        settings["first_start"] = true;
        settings["key_withdrawal_max"] = "5s";
        for (std::size_t i = 0; i < host_count; ++i) {
            std::string const ip = "127.0.0." + std::to_string(11 + i);
            settings["name"] = "h" + std::to_string(11 + i);
            settings["ip"] = ip;
            for (char const* const listener :
                 {"client_address", "readiness_address", "directory_address", "metrics_address"}) {
                settings[listener] = ip + ":" + std::to_string(free_port());
            }
            auto const parsed = host_settings_table().parse(settings.dump(), "test");
            ASSERT_TRUE(parsed);
            clients.push_back(parsed->client_address);
            relays.push_back(ip + ":" + std::to_string(parsed->relay_port));
            hosts.push_back(std::make_unique<entry_host>(
                loop, timers, *parsed, test_wire_format(), [parsed] { return *parsed; },
                [this](store_hooks const& hooks) { return store_for(hooks); }));
            ASSERT_TRUE(hosts.back()->start());
        }
        for (store_hooks const& hooks : stores) {
            hooks.hosts_listed({});
            hooks.targets_listed({desk_targets({&target}), position(1)});
        }
        for (std::size_t i = 0; i < host_count; ++i) {
            ASSERT_TRUE(becomes(i, "Token key-1", 200)) << i;
        }
    }

    /** Answers calls on the configuration while the store is up, watches after 200 ms. */
    store_calls store_for(store_hooks const& hooks)
    {
        stores.push_back(hooks);
        store_calls calls = silent_store();
        auto const answer = [this, hooks](milliseconds delay, follow_calls::done const& done) {
            timers.once(read_clocks().mono + delay, [this, hooks, done] {
                if (store_up) {
                    hooks.config(document);
                    done({follow_status::done, position(1)});
                }
            });
        };
        calls.config.list = [answer](read_freshness, follow_calls::done const& done) {
            answer(milliseconds{1}, done);
        };
        calls.config.watch = [answer](store_position, watch_times, follow_calls::done const& done) {
            answer(milliseconds{200}, done);
        };
        calls.config.reachable = [](bool, std::string const&) {};
        calls.read_config = [this](std::string const&) -> result<config_document> {
            return document;
        };
        return calls;
    }

    http_response send(std::string const& address, std::string const& authorization,
                       std::string const& path = "/a/x",
                       std::vector<std::pair<std::string, std::string>> const& more = {})
    {
        http_request request(boost::beast::http::verb::put, path, 11);
        request.set(boost::beast::http::field::host, "desk.example");
        request.set("Attempt", "a1");
        request.set("Deadline", "1500");
        if (!authorization.empty()) {
            request.insert("AUTHORIZATION", authorization);
        }
        for (auto const& [name, value] : more) {
            request.insert(name, value);
        }
        request.prepare_payload();
        return exchange_once(loop, address, std::move(request)).response;
    }

    bool becomes(std::size_t host, std::string const& authorization, unsigned status,
                 milliseconds time = milliseconds{8000})
    {
        return run_until(
            loop, [&] { return send(clients[host], authorization).result_int() == status; }, time);
    }

    [[nodiscard]] bool target_got(std::string const& text) const
    {
        return target.request_heads.back().find(text) != std::string::npos;
    }

    boost::asio::io_context loop;
    loop_timers timers;
    scripted_server target;
    config_document document; ///< in the store
    bool store_up = true;
    std::vector<store_hooks> stores;
    std::vector<std::string> clients;
    std::vector<std::string> relays;
    std::vector<std::unique_ptr<entry_host>> hosts;
};

// Guards against a key, or a workspace that the client has named, which reaches a target.
TEST_F(access_key_case, a_target_gets_the_name_of_the_workspace_alone)
{
    start();
    std::vector<std::pair<std::string, std::string>> const forged{{"workspace", "admin"},
                                                                  {"WORKSPACE", "root"}};
    EXPECT_EQ(send(clients[0], "tOkEn key-1", "/a/x", forged).result_int(), 200U);
    EXPECT_TRUE(target_got("Workspace: ws\r\n"));
    for (char const* const secret : {"key-1", "admin", "root", "uthorization", "AUTHORIZATION"}) {
        EXPECT_FALSE(target_got(secret)) << secret;
    }
    auto const served_before = target.request_heads.size();
    EXPECT_EQ(send(clients[0], "Token nobody").result_int(), 401U);
    EXPECT_EQ(send(clients[0], "").result_int(), 401U);
    EXPECT_EQ(send(clients[0], "Token key-1", "/none").result_int(), 404U);
    EXPECT_EQ(target.request_heads.size(), served_before);
    EXPECT_EQ(send(clients[0], "Bearer x", "/open/x", forged).result_int(), 200U);
    for (char const* const text : {"admin", "root", "Bearer", "orkspace"}) {
        EXPECT_FALSE(target_got(text)) << text;
    }
    EXPECT_EQ(send(clients[0], "Token key-2", "/open/x").result_int(), 200U);
    EXPECT_TRUE(target_got("Workspace: other\r\n"));
}

// Guards against a host that serves a withdrawn key, or one without any proof past the bound.
TEST_F(access_key_case, withdrawn_keys_and_hosts_without_proof_stop_within_the_bound)
{
    start();
    document.config.version = generation(2);
    document.config.workspaces.front().keys = {"key-3"};
    mono_time const withdrawn = read_clocks().mono;
    for (std::size_t i = 0; i < host_count; ++i) {
        EXPECT_TRUE(becomes(i, "Token key-1", 401, withdrawal_max)) << i;
        EXPECT_TRUE(becomes(i, "Token key-3", 200)) << i;
    }
    EXPECT_LT(read_clocks().mono - withdrawn, withdrawal_max);
    store_up = false;
    mono_time const lost = read_clocks().mono;
    for (std::size_t i = 0; i < host_count; ++i) {
        EXPECT_TRUE(becomes(i, "Token key-3", 503, withdrawal_max)) << i;
        EXPECT_FALSE(send(clients[i], "Token nobody")["Retry-After"].empty()) << i;
        EXPECT_EQ(send(clients[i], "Token key-3", "/open/x").result_int(), 200U) << i;
        EXPECT_FALSE(target_got("Workspace")) << i;
    }
    EXPECT_LT(read_clocks().mono - lost, withdrawal_max);
}

// Guards against a host that believes the one that relays a request to it.
TEST_F(access_key_case, a_relayed_request_is_decided_by_its_fingerprint)
{
    start();
    auto const relay = [this](std::string const& key, std::string const& version) {
        return send(relays[1], "", "/a/x",
                    {{"Cove-Workspace", "ws"},
                     {"Cove-Key", key_fingerprint(key)},
                     {"Cove-Version", version}})
            .result_int();
    };
    EXPECT_EQ(relay("key-1", "1"), 200U);
    EXPECT_TRUE(target_got("Workspace: ws\r\n"));
    EXPECT_FALSE(target_got("Cove-"));
    EXPECT_EQ(relay("nobody", "1"), 401U);
    EXPECT_EQ(relay("nobody", "2"), 503U);
    EXPECT_EQ(send(clients[1], "", "/a/x",
                   {{"Cove-Workspace", "ws"},
                    {"Cove-Key", key_fingerprint("key-1")},
                    {"Cove-Version", "1"}})
                  .result_int(),
              401U);
}

} // namespace
} // namespace cove
