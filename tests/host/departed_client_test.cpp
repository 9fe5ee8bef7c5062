/** @file Requests whose clients leave before or while they are carried. */

#include "support/raw_client.h"
#include "support/relaying_host.h"

#include <poll.h>

namespace cove {
namespace {

constexpr milliseconds gone_bound{500}; ///< work for a client that left ends within this time

std::string const refused = response("503 Busy", "Attempt: a1\r\nNot-Run: 1\r\n");

class departed_client : public host_case {
protected:
    void run_for(milliseconds time)
    {
        run_until(
            loop, [] { return false; }, time);
    }

    scripted_answer answer{served};
    scripted_server target{loop, [this](std::string const&) { return answer; }};
};

struct late_read_case {
    departure how;
    bool idempotent;
    bool on_relay_port;
};

class late_read : public departed_client, public testing::WithParamInterface<late_read_case> {};

TEST_P(late_read, requests_of_clients_that_have_left_are_not_sent)
{
    constexpr std::size_t clients = 16;
    configure(1, "/a/", GetParam().idempotent);
    list({&target});
    std::string const address = GetParam().on_relay_port ? relay_address : client_address;
    ASSERT_EQ(ask(address, "/a/warm").response.result_int(), 200U); // leaves an idle connection
    for (std::size_t i = 0; i < clients; ++i) { // the loop does not run meanwhile
        raw_client client(loop, address);
        client.send(raw_request("/a/" + std::to_string(i)));
        client.leave(GetParam().how);
    }
    run_for(gone_bound);
    EXPECT_EQ(target.request_heads.size(), 1U);
}

std::string name_of_case(testing::TestParamInfo<late_read_case> const& info)
{
    std::array<char const*, 3> const names{"close", "reset", "close_after_more"};
    return std::string(names.at(static_cast<std::size_t>(info.param.how))) +
           (info.param.idempotent ? "_idempotent" : "_once_only") +
           (info.param.on_relay_port ? "_relayed" : "");
}

INSTANTIATE_TEST_SUITE_P(cases, late_read,
                         testing::Values(late_read_case{departure::close, true, false},
                                         late_read_case{departure::reset, true, false},
                                         late_read_case{departure::close_after_more, true, false},
                                         late_read_case{departure::close, false, false},
                                         late_read_case{departure::close, true, true},
                                         late_read_case{departure::reset, false, true}),
                         name_of_case);

class refused_request : public departed_client, public testing::WithParamInterface<bool> {};

TEST_P(refused_request, of_a_client_that_left_is_not_sent_to_another_target)
{
    answer = {""};
    scripted_server other(loop, [this](std::string const&) { return answer; });
    configure(1, "/a/", GetParam());
    list({&target, &other});
    raw_client client(loop, client_address);
    client.send(raw_request("/a/1"));
    auto const sent = [&] { return target.request_heads.size() + other.request_heads.size(); };
    ASSERT_TRUE(run_until(loop, [&] { return sent() == 1; }));
    // The host sees the refusal before the end of the client's connection.
    target.send_to_all(refused);
    other.send_to_all(refused);
    client.leave(departure::close);
    run_for(gone_bound);
    EXPECT_EQ(sent(), 1U);
}

INSTANTIATE_TEST_SUITE_P(cases, refused_request, testing::Bool(),
                         [](auto const& info) { return info.param ? "idempotent" : "once_only"; });

TEST_F(departed_client, a_queued_request_is_not_sent_when_a_slot_becomes_free)
{
    answer = {""};
    configure(1, "/a/", true);
    list({&target});
    std::vector<std::unique_ptr<raw_client>> running;
    std::size_t const slots = 4;
    for (std::size_t i = 0; i < slots; ++i) {
        running.push_back(std::make_unique<raw_client>(loop, client_address));
        running.back()->send(raw_request("/a/" + std::to_string(i)));
    }
    ASSERT_TRUE(run_until(loop, [&] { return target.request_heads.size() == slots; }));
    raw_client queued(loop, client_address);
    queued.send(raw_request("/a/queued"));
    run_for(milliseconds{50});
    ASSERT_EQ(target.request_heads.size(), slots);
    target.send_to_all(served); // the host sees this before the end of the connection
    queued.leave(departure::close);
    run_for(gone_bound);
    EXPECT_EQ(target.request_heads.size(), slots);
}

TEST_F(departed_client, a_request_is_not_sent_once_its_connection_to_the_target_is_open)
{
    // The kernel accepts connections; the test reads from them later.
    boost::asio::ip::tcp::acceptor listener(loop, {boost::asio::ip::make_address("127.0.0.1"), 0});
    configure(1, "/a/", false);
    target_entry entry = desk_targets({&target})[0];
    entry.address = loopback(listener.local_endpoint().port());
    store.targets_listed({{entry}, position(1)});
    raw_client client(loop, client_address);
    client.send(raw_request("/a/1"));
    pollfd waiting{listener.native_handle(), POLLIN, 0};
    for (int i = 0; i < 10'000 && ::poll(&waiting, 1, 0) == 0; ++i) {
        loop.restart();
        loop.run_one_for(milliseconds{10}); // stops at the turn that begins to connect
    }
    client.leave(departure::close);
    // The loop comes to the established connection and the end of the client's in one turn.
    run_for(gone_bound);
    auto connection = listener.accept();
    connection.non_blocking(true);
    char byte = 0;
    boost::system::error_code error;
    EXPECT_EQ(connection.read_some(boost::asio::buffer(&byte, 1), error), 0U);
}

TEST_F(departed_client, an_idempotent_request_that_runs_is_cancelled)
{
    answer = {""};
    configure(1, "/a/", true);
    list({&target});
    raw_client client(loop, client_address);
    client.send(raw_request("/a/1"));
    ASSERT_TRUE(run_until(loop, [&] { return target.request_heads.size() == 1; }));
    client.leave(departure::close_after_more);
    EXPECT_TRUE(run_until(
        loop, [&] { return target.closed_by_peer == 1; }, gone_bound));
}

class departed_client_of_cut_off_host : public relaying_host {};

TEST_F(departed_client_of_cut_off_host, a_relayed_request_that_runs_is_cancelled)
{
    cut_off_first_host(true);
    auto const before = target.request_heads.size();
    auto const closed_before = target.closed_by_peer;
    raw_client client(loop, clients[0]);
    client.send(raw_request("/a/relayed"));
    ASSERT_TRUE(run_until(loop, [&] { return target.request_heads.size() == before + 1; }));
    client.leave(departure::close);
    EXPECT_TRUE(run_until(
        loop, [&] { return target.closed_by_peer > closed_before; }, gone_bound));
    EXPECT_EQ(target.request_heads.size(), before + 1);
}

} // namespace
} // namespace cove
