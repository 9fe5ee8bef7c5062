#pragma once
/** @file The entry hosts of one zone, or of a few, over loopback. */

#include "support/host_case.h"

namespace cove {

/** What tells one host from the others. */
struct host_traits {
    std::string zone = "east";
    bool store_fails = false; ///< each of its calls to the store
    /// Its store answers until store_silent is set; from then on it says nothing, and calls end by
    /// their time-outs.
    bool store_falls_silent = false;
};

/** The hosts of a few zones; the test acts as the store of each of them. */
class zone_case : public testing::Test {
protected:
    /** @param host_count hosts `h11`, `h12`, … at 127.0.0.11, 127.0.0.12, … */
    explicit zone_case(int host_count = 13)
        : zone_case(std::vector<host_traits>(static_cast<std::size_t>(host_count)))
    {
    }

    explicit zone_case(std::vector<host_traits> const& traits) : timers(loop)
    {
        nlohmann::json common = nlohmann::json::parse(settings_text());
        common["seeds"] = {"127.0.0.11:1", "127.0.0.12:1"};
        common["first_start"] = true;
        for (host_traits const& each : traits) {
            common["regions"][each.zone] = "r";
        }
        for (std::size_t i = 0; i < traits.size(); ++i) {
            std::string const ip = "127.0.0." + std::to_string(11 + i);
            nlohmann::json own = common;
            own["name"] = "h" + std::to_string(11 + i);
            own["ip"] = ip;
            own["zone"] = traits[i].zone;
            for (char const* const listener :
                 {"client_address", "readiness_address", "directory_address", "metrics_address"}) {
                own[listener] = ip + ":" + std::to_string(free_port());
            }
            auto const settings = host_settings_table().parse(own.dump(), "test");
            EXPECT_TRUE(settings);
            metrics.push_back(settings->metrics_address);
            clients.push_back(settings->client_address);
            hosts.push_back(std::make_unique<entry_host>(
                loop, timers, *settings, test_wire_format(), [settings] { return *settings; },
                [this, own_traits = traits[i]](store_hooks hooks) {
                    stores.push_back(std::move(hooks));
                    store_calls calls = own_traits.store_fails          ? failing_store()
                                        : own_traits.store_falls_silent ? store_until_silent()
                                                                        : silent_store();
                    calls.read_config = read_config;
                    calls.list_hosts = [](std::function<void(bool)> const& done) { done(true); };
                    calls.register_host = [this](host_record const& host, bool,
                                                 std::function<void(bool)> const& done) {
                        registered.push_back(host.name);
                        done(true);
                    };
                    return calls;
                }));
            EXPECT_TRUE(hosts.back()->start());
        }
    }

    static store_calls failing_store()
    {
        follow_result const failed{follow_status::failed, {}, "refused"};
        store_calls calls = silent_store();
        for (follow_calls* const kind : {&calls.config, &calls.targets, &calls.evacuations}) {
            kind->list = [failed](read_freshness, follow_calls::done const& done) { done(failed); };
            kind->watch = [failed](store_position, watch_times, follow_calls::done const& done) {
                done(failed);
            };
        }
        return calls;
    }

    /** @return a store without changes that answers each call until store_silent is set. */
    store_calls store_until_silent()
    {
        store_calls calls = silent_store();
        for (follow_calls* const kind : {&calls.config, &calls.targets, &calls.evacuations}) {
            auto const pending = std::make_shared<loop_timers::subscription>(0);
            auto const answer = [this, pending](milliseconds wait, milliseconds timeout,
                                                follow_calls::done const& done) {
                *pending = timers.once(read_clocks().mono + wait, [this, pending, timeout, done] {
                    if (!store_silent) {
                        done({follow_status::done, position(1), {}});
                        return;
                    }
                    *pending = timers.once(read_clocks().mono + timeout, [done] {
                        done({follow_status::failed, {}, "no answer"});
                    });
                });
            };
            kind->list = [answer](read_freshness, follow_calls::done const& done) {
                answer(milliseconds{0}, watch_timing::max_timeout, done);
            };
            kind->watch = [answer](store_position, watch_times times,
                                   follow_calls::done const& done) {
                answer(times.wait, times.timeout, done);
            };
            kind->abort = [this, pending] { timers.cancel(std::exchange(*pending, 0)); };
        }
        return calls;
    }

    /** The text of a configuration starts with its version. */
    static result<config_document> read_config(std::string const& text)
    {
        if (text.empty() || text[0] < '0' || text[0] > '9') {
            return fail("test.read_config", "test", "no version");
        }
        config_document document{text, {}};
        document.config.version = generation(std::stoull(text));
        return document;
    }

    /** @return a configuration of as many routes as a large one has, 0.7 MB. */
    static std::string large_config(int version)
    {
        std::string text = std::to_string(version) + "\n";
        for (unsigned i = 0; i < 2800; ++i) {
            std::string const name = std::to_string(i * 2654435761U);
            text.append(R"({"metadata":{"name":"r-)").append(name);
            text.append(R"("},"kind_of_entry":"route","spec":{"host":"h)").append(name);
            text.append(
                R"(.example","kind":"non_idempotent","max_attempts":2,"request_paths":"/p)");
            text.append(name).append(
                R"(/","priority":1,"service":"desk","sticky_sessions":false,)");
            text.append(R"("target_latency":"250ms","timeout":"1500ms"}})").append("\n");
        }
        return text;
    }

    /** Delivers a configuration to host @p i as its watch of the store does. */
    void deliver(std::size_t i, std::string const& text) { stores[i].config(*read_config(text)); }

    std::uint64_t metric(std::size_t i, std::string const& name)
    {
        http_request request(boost::beast::http::verb::get, "/metrics", 11);
        std::string const text =
            exchange_once(loop, metrics[i], std::move(request)).response.body();
        auto const at = text.find("\n" + name + " ");
        return at == std::string::npos ? 0 : std::stoull(text.substr(at + name.size() + 2));
    }

    bool all_have(std::uint64_t version) { return all_show("cove_config_version", version); }

    bool all_show(std::string const& name, std::uint64_t value)
    {
        for (std::size_t i = 0; i < hosts.size(); ++i) {
            if (metric(i, name) != value) {
                return false;
            }
        }
        return true;
    }

    bool all_know_each_other()
    {
        for (std::size_t i = 0; i < hosts.size(); ++i) {
            if (metric(i, "cove_serving_hosts") != hosts.size()) {
                return false;
            }
        }
        return true;
    }

    /** Lets all hosts serve with a small configuration and know each other. */
    void start_zone()
    {
        for (std::size_t i = 0; i < hosts.size(); ++i) {
            deliver(i, "1\n");
            stores[i].targets_listed({{}, position(1)});
        }
        ASSERT_TRUE(run_until(
            loop, [this] { return all_know_each_other(); }, milliseconds{10'000}));
    }

    boost::asio::io_context loop;
    loop_timers timers;
    bool store_silent = false; ///< for hosts with store_falls_silent
    std::vector<store_hooks> stores;
    std::vector<node_id> registered;  ///< hosts that have written their address, in order
    std::vector<std::string> metrics; ///< address of each host
    std::vector<std::string> clients; ///< address of each host
    std::vector<std::unique_ptr<entry_host>> hosts;
};

} // namespace cove
