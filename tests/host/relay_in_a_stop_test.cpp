/** @file A host that carries a request for another host, which stops meanwhile. */

#include "support/crashing_target.h"
#include "support/host_case.h"

namespace cove {
namespace {

/** A host with one zone peer, which the test plays. The parameter: whether the peer stops. */
class relay_in_a_stop : public testing::Test, public testing::WithParamInterface<bool> {
protected:
    relay_in_a_stop()
        : timers(loop), peer_port(free_port()), peer(loop, peer_port, [](std::string const&) {})
    {
        EXPECT_TRUE(peer.start("127.0.0.1"));
        auto settings = host_settings_table().parse(settings_text(), "test");
        EXPECT_TRUE(settings);
        settings->ip = host_ip;
        settings->peer_port = peer_port;
        client_address = settings->client_address;
        relay_address = std::string(host_ip) + ":" + std::to_string(settings->relay_port);
        host = std::make_unique<entry_host>(
            loop, timers, *settings, test_wire_format(), [settings] { return *settings; },
            [this](store_hooks hooks) {
                store = std::move(hooks);
                return silent_store();
            });
        EXPECT_TRUE(host->start());
    }

    /** Lets the host serve requests with two targets, and learn that these are fast. */
    void start()
    {
        config_document document = desk_config(1, "/a/", true);
        document.config.routes[0].timeout = milliseconds{4000};
        store.hosts_listed({});
        store.config(document);
        std::vector<target_entry> entries(2);
        for (std::size_t i = 0; i < entries.size(); ++i) {
            entries[i].id = target_id("t" + std::to_string(i));
            entries[i].service = service_id("desk");
            entries[i].address = targets[i]->address();
            entries[i].zone = zone_id("east");
            entries[i].slots = 4;
            targets[i]->service_time = milliseconds{5};
        }
        store.targets_listed({entries, position(1)});
        report(false);
        for (int i = 0; i < 10; ++i) {
            ASSERT_EQ(exchange_once(loop, client_address, request()).response.result_int(), 200U);
        }
    }

    /** Sends a report of the peer to the host. */
    void report(bool leaving)
    {
        host_report own;
        own.name = node_id("h0");
        own.zone = zone_id("east");
        own.ip = "127.0.0.1";
        own.incarnation = host_incarnation(1);
        own.sequence = ++reports;
        own.leaving = leaving;
        peer.send(host_ip, encode_host_message(gossip{own.name, own.ip, {own}, {}, false}));
    }

    static http_request request()
    {
        http_request out(boost::beast::http::verb::put, "/a/1", 11);
        out.set(boost::beast::http::field::host, "desk.example");
        out.set("Attempt", "a1");
        out.set("Deadline", "4000");
        out.prepare_payload();
        return out;
    }

    /** @return the requests that the targets have got. */
    [[nodiscard]] int requests() const { return targets[0]->requests + targets[1]->requests; }

    static constexpr char const* host_ip = "127.0.0.2";

    boost::asio::io_context loop;
    loop_timers timers;
    int peer_port;
    loop_transport peer;
    std::uint64_t reports = 0;
    store_hooks store;
    std::string client_address;
    std::string relay_address;
    std::unique_ptr<entry_host> host;
    std::string last_head; ///< of the requests that the targets have got
    std::vector<std::unique_ptr<crashing_target>> targets = make_targets();

private:
    std::vector<std::unique_ptr<crashing_target>> make_targets()
    {
        std::vector<std::unique_ptr<crashing_target>> out;
        for (int i = 0; i < 2; ++i) {
            out.push_back(
                std::make_unique<crashing_target>(loop, served, [this](std::string const& head) {
                    last_head = head;
                    return false;
                }));
        }
        return out;
    }
};

// LOST: the host withdrew the request of a stopping host from the target that was at work on it.
TEST_P(relay_in_a_stop, is_withdrawn_from_its_target_only_if_the_other_host_goes_on)
{
    start();
    for (auto const& target : targets) {
        target->service_time = milliseconds{1500};
    }
    int const before = requests();
    http_request relayed = request();
    relayed.set("Cove-Host", "h0");
    relayed.set("Cove-Client", "127.0.0.1");
    auto const connection =
        std::make_shared<exchange_connection>(loop, endpoint_of(relay_address), exchange_limits{});
    std::optional<exchange_result> got;
    connection->exchange(std::move(relayed), nullptr,
                         [&got](exchange_result result) { got = std::move(result); });
    ASSERT_TRUE(run_until(loop, [&] { return requests() == before + 1; }));
    EXPECT_EQ(last_head.find("Cove-"), std::string::npos);
    report(GetParam());
    ASSERT_TRUE(run_until(loop, [&] { return got.has_value(); }));
    EXPECT_EQ(got->response.result_int(), 200U);
    EXPECT_EQ(requests(), before + (GetParam() ? 1 : 2));
}

INSTANTIATE_TEST_SUITE_P(peer, relay_in_a_stop, testing::Bool(), [](auto const& info) {
    return info.param ? "that_stops" : "that_goes_on";
});

} // namespace
} // namespace cove
