/** @file How a configuration spreads among the entry hosts of a zone. */

#include "support/host_case.h"

namespace cove {
namespace {

/** The hosts of one zone; the test acts as the store of each of them. */
class zone_case : public testing::Test {
protected:
    static constexpr int host_count = 13;

    zone_case() : timers(loop)
    {
        nlohmann::json common = nlohmann::json::parse(settings_text());
        common["seeds"] = {"127.0.0.11:1", "127.0.0.12:1"};
        common["first_start"] = true;
        for (int i = 0; i < host_count; ++i) {
            std::string const ip = "127.0.0." + std::to_string(11 + i);
            nlohmann::json own = common;
            own["name"] = "h" + std::to_string(11 + i);
            own["ip"] = ip;
            for (char const* const listener :
                 {"client_address", "readiness_address", "directory_address", "metrics_address"}) {
                own[listener] = ip + ":" + std::to_string(free_port());
            }
            auto const settings = host_settings_table().parse(own.dump(), "test");
            EXPECT_TRUE(settings);
            metrics.push_back(settings->metrics_address);
            hosts.push_back(std::make_unique<entry_host>(
                loop, timers, *settings, test_wire_format(), [settings] { return *settings; },
                [this](store_hooks hooks) {
                    stores.push_back(std::move(hooks));
                    store_calls calls = silent_store();
                    calls.read_config = read_config;
                    return calls;
                }));
            EXPECT_TRUE(hosts.back()->start());
        }
    }

    /** The text of a configuration starts with its version. */
    static result<config_document> read_config(std::string const& text)
    {
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
            text += R"({"metadata":{"name":"r-)" + name +
                    R"("},"resource_kind":"routes","spec":{"host":"h)" + name +
                    R"(.example","kind":"non_idempotent","max_attempts":2,"path_prefix":"/p)" +
                    name + R"(/","priority":1,"service":"desk","sticky_sessions":false,)" +
                    R"("target_latency":"250ms","timeout":"1500ms"}})" + "\n";
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

    bool all_have(std::uint64_t version)
    {
        for (std::size_t i = 0; i < hosts.size(); ++i) {
            if (metric(i, "cove_config_version") != version) {
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
            stores[i].targets_listed({{}, revision(1)});
        }
        ASSERT_TRUE(run_until(
            loop, [this] { return all_know_each_other(); }, milliseconds{10'000}));
    }

    boost::asio::io_context loop;
    loop_timers timers;
    std::vector<store_hooks> stores;
    std::vector<std::string> metrics;
    std::vector<std::unique_ptr<entry_host>> hosts;
};

TEST_F(zone_case, no_host_sends_more_of_a_configuration_than_its_link_carries_in_a_second)
{
    constexpr std::uint64_t bytes_per_second = 10'000'000 / 8; // link of 10 Mbit/s
    start_zone();
    std::string const text = large_config(2);
    deliver(0, text); // the two hosts that follow the store
    deliver(1, text);
    EXPECT_TRUE(run_until(
        loop, [this] { return all_have(2); }, milliseconds{3000}));
    run_until(
        loop, [] { return false; }, milliseconds{1500}); // until late copies are sent as well
    for (std::size_t i = 0; i < hosts.size(); ++i) {
        EXPECT_LE(metric(i, "cove_bytes_to_peers{message=\"snapshot\"}"), bytes_per_second) << i;
    }
}

TEST_F(zone_case, the_second_follower_delivers_what_the_first_one_misses)
{
    start_zone();
    deliver(1, large_config(2));
    EXPECT_TRUE(run_until(
        loop, [this] { return all_have(2); }, milliseconds{2500}));
}

} // namespace
} // namespace cove
