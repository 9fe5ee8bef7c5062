/** @file What a planned stop answers to requests that come, or run, late in the grace time. */

#include "support/crashing_target.h"
#include "support/cut_link.h"
#include "support/raw_client.h"
#include "support/zone_case.h"

namespace cove {
namespace {

constexpr milliseconds grace{2000}; ///< in settings_text()
constexpr milliseconds exit_margin{200};

/** @return the status of the complete answer to a client; 0 if there is none. */
unsigned status_of(raw_client& client)
{
    std::string const& text = client.received();
    bool const complete = text.find("\r\n\r\n") != std::string::npos;
    return complete ? static_cast<unsigned>(std::stoul(text.substr(sizeof "HTTP/1.1"))) : 0;
}

/** A host that is stopped; times are counted from the SIGTERM. */
class planned_stop : public host_case {
protected:
    void start(milliseconds service_time, milliseconds route_timeout, bool idempotent = false)
    {
        config_document document = desk_config(1, "/a/", idempotent);
        document.config.routes[0].timeout = route_timeout;
        store.config(document);
        target.service_time = service_time;
        target_entry entry;
        entry.id = target_id("t0");
        entry.service = service_id("desk");
        entry.address = target.address();
        entry.zone = zone_id("east");
        entry.slots = 4;
        store.targets_listed({{entry}, position(1)});
    }

    /** Serves requests, so that the host knows how long the target takes. */
    void train(int count)
    {
        for (int i = 0; i < count; ++i) {
            ASSERT_EQ(status("/a/" + std::to_string(i)), 200U);
        }
        trained = target.requests;
    }

    void stop()
    {
        ::raise(SIGTERM);
        stopped_at = read_clocks().mono;
        loop.restart();
    }

    /** Runs the loop until @p time after the SIGTERM, or until the process would end. */
    void run_to(milliseconds time)
    {
        while (!loop.stopped() && read_clocks().mono < stopped_at + time) {
            loop.run_for(milliseconds{2});
        }
    }

    /** Runs the loop until the process would end. */
    void run_to_end()
    {
        run_to(grace + exit_margin);
        EXPECT_TRUE(loop.stopped());
        EXPECT_LT(read_clocks().mono, stopped_at + grace);
    }

    raw_client& connect(std::string const& address)
    {
        clients.push_back(std::make_unique<raw_client>(loop, address));
        return *clients.back();
    }

    void expect_all(unsigned expected)
    {
        for (auto const& client : clients) {
            EXPECT_EQ(status_of(*client), expected);
        }
    }

    static std::string head_of(std::size_t body_bytes)
    {
        return "PUT /a/late HTTP/1.1\r\nHost: desk.example\r\nAttempt: a1\r\nDeadline: 8000\r\n"
               "Content-Length: " +
               std::to_string(body_bytes) + "\r\n\r\n";
    }

    static constexpr int client_count = 4;
    crashing_target target{loop, served, [](std::string const&) { return false; }};
    std::vector<std::unique_ptr<raw_client>> clients;
    mono_time stopped_at{};
    int trained = 0; ///< requests that the target got before the stop
};

class planned_stop_on_port : public planned_stop, public testing::WithParamInterface<bool> {};

TEST_P(planned_stop_on_port, a_request_that_cannot_end_by_the_stop_is_answered_as_not_run)
{
    start(milliseconds{1500}, milliseconds{8000});
    run_until(
        loop, [] { return false; }, milliseconds{50});
    stop();
    run_to(milliseconds{650});
    for (int i = 0; i < client_count; ++i) {
        connect(GetParam() ? relay_address : client_address).send(raw_request("/a/late"));
    }
    run_to_end();
    EXPECT_EQ(target.requests, 0);
    expect_all(503);
}

INSTANTIATE_TEST_SUITE_P(ports, planned_stop_on_port, testing::Bool(),
                         [](auto const& info) { return info.param ? "relayed" : "of_clients"; });

TEST_F(planned_stop, a_request_that_mostly_takes_too_long_is_answered_as_not_run)
{
    start(milliseconds{900}, milliseconds{8000});
    train(3);
    stop();
    run_to(milliseconds{780});
    for (int i = 0; i < client_count; ++i) {
        connect(client_address).send(raw_request("/a/late"));
    }
    run_to_end();
    EXPECT_EQ(target.requests, trained);
    expect_all(503);
}

TEST_F(planned_stop, a_body_that_is_in_late_is_answered_as_not_run)
{
    start(milliseconds{500}, milliseconds{8000});
    train(3);
    stop();
    run_to(milliseconds{500});
    for (int i = 0; i < client_count; ++i) {
        connect(client_address).send(head_of(10) + "123456789");
    }
    run_to(milliseconds{1700});
    for (auto const& client : clients) {
        client->send("0");
    }
    run_to_end();
    EXPECT_EQ(target.requests, trained);
    expect_all(503);
}

TEST_F(planned_stop, a_body_that_never_is_in_is_answered_as_not_run)
{
    start(milliseconds{20}, milliseconds{8000});
    run_until(
        loop, [] { return false; }, milliseconds{50});
    stop();
    run_to(milliseconds{500});
    for (int i = 0; i < client_count; ++i) {
        connect(client_address).send(head_of(10) + "1");
    }
    run_to_end();
    EXPECT_EQ(target.requests, 0);
    expect_all(503);
}

TEST_F(planned_stop, requests_that_are_short_as_a_rule_are_served_late_in_the_grace_time)
{
    start(milliseconds{20}, milliseconds{8000});
    train(10);
    for (int i = 0; i < client_count; ++i) {
        connect(client_address).send(head_of(10));
    }
    run_until(
        loop, [] { return false; }, milliseconds{20});
    stop();
    run_to(milliseconds{1500});
    for (auto const& client : clients) {
        client->send("0123456789");
    }
    run_to_end();
    EXPECT_EQ(target.requests, trained + client_count);
    expect_all(200);
}

TEST_F(planned_stop, requests_with_little_time_are_served_however_long_they_take)
{
    start(milliseconds{600}, milliseconds{700});
    stop();
    run_to(milliseconds{500});
    for (int i = 0; i < client_count; ++i) {
        connect(client_address).send(raw_request("/a/late"));
    }
    run_to_end();
    EXPECT_EQ(target.requests, client_count);
    expect_all(200);
}

TEST_F(planned_stop, a_request_that_runs_until_the_end_is_answered_with_what_is_true)
{
    start(milliseconds{5000}, milliseconds{8000});
    for (int i = 0; i < client_count; ++i) {
        connect(client_address).send(raw_request("/a/running"));
    }
    ASSERT_TRUE(run_until(loop, [this] { return target.requests == client_count; }));
    raw_client& queued = connect(client_address);
    queued.send(raw_request("/a/queued"));
    run_until(
        loop, [] { return false; }, milliseconds{30});
    ASSERT_EQ(target.requests, client_count);
    stop();
    run_to_end();
    EXPECT_EQ(status_of(queued), 503U);
    clients.pop_back();
    expect_all(502);
}

/** Two hosts that are stopped together; the first one has lost its links to the targets. */
class stopping_pair : public zone_case {
protected:
    stopping_pair() : zone_case(2) {}
};

TEST_F(stopping_pair, relayed_requests_are_not_cut)
{
    constexpr milliseconds work{5000};
    constexpr std::size_t requests = 4;
    crashing_target target(loop, served, [](std::string const&) { return false; });
    target.service_time = work;
    cut_link link(loop, endpoint_of(target.address()));
    config_document document = desk_config(1, "/a/", false);
    document.config.routes[0].timeout = milliseconds{8000};
    std::vector<target_entry> direct(3);
    for (std::size_t i = 0; i < direct.size(); ++i) {
        direct[i].id = target_id("t" + std::to_string(i));
        direct[i].service = service_id("desk");
        direct[i].address = target.address();
        direct[i].zone = zone_id("east");
        direct[i].slots = 256;
    }
    auto linked = direct;
    for (target_entry& entry : linked) {
        entry.address = link.address();
    }
    for (std::size_t i = 0; i < stores.size(); ++i) {
        stores[i].hosts_listed({});
        stores[i].config(document);
        stores[i].targets_listed({i == 0 ? linked : direct, position(1)});
    }
    ASSERT_TRUE(run_until(
        loop, [this] { return all_know_each_other(); }, milliseconds{10'000}));
    link.cut(link_cut::reset);
    std::vector<std::unique_ptr<raw_client>> sent;
    auto const send = [&](std::size_t host) {
        sent.push_back(std::make_unique<raw_client>(loop, clients[host]));
        sent.back()->send(raw_request("/a/1"));
    };
    ASSERT_TRUE(run_until(loop, [&] {
        send(0);
        run_until(
            loop, [] { return false; }, milliseconds{20});
        return metric(0, "cove_cut_off_from_targets") == 1;
    }));
    sent.clear();
    int const before = target.requests;
    for (std::size_t i = 0; i < requests; ++i) {
        send(0);
    }
    ASSERT_TRUE(
        run_until(loop, [&] { return target.requests == before + static_cast<int>(requests); }));
    ::raise(SIGTERM);
    mono_time const stopped_at = read_clocks().mono;
    loop.restart();
    while (!loop.stopped() && read_clocks().mono < stopped_at + grace + exit_margin) {
        loop.run_for(milliseconds{2});
        if (sent.size() == requests && read_clocks().mono > stopped_at + grace / 3) {
            send(0);
            send(1);
        }
    }
    EXPECT_TRUE(loop.stopped());
    for (std::size_t i = 0; i < sent.size(); ++i) {
        EXPECT_EQ(status_of(*sent[i]), i < requests ? 502U : 503U) << i;
    }
    EXPECT_EQ(target.requests, before + static_cast<int>(requests));
}

} // namespace
} // namespace cove
