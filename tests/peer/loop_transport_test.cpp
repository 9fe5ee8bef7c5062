/** @file Messages between hosts on the event loop. */

#include "core/time_type.h"
#include "peer/loop_transport.h"
#include "support/cut_link.h"
#include "support/free_port.h"
#include "support/silent_link.h"

#include <boost/asio/post.hpp>
#include <gtest/gtest.h>
#include <thread>

namespace cove {
namespace {

/** A receiver on a loop that the test runs, and a sender without a loop. */
class message_burst : public testing::Test {
protected:
    static constexpr int messages = 600;
    static constexpr milliseconds limit{5000};

    message_burst()
        : receiver(loop, port, [this](std::string const&) { ++received; }),
          sender(context, zmq::socket_type::push)
    {
        EXPECT_TRUE(receiver.start("127.0.0.1"));
        sender.set(zmq::sockopt::linger, 0);
        sender.connect("tcp://" + loopback(port));
    }

    /** Sends messages, as those of many hosts; drops none. */
    void send(int count)
    {
        for (int i = 0; i < count; ++i) {
            sender.send(zmq::str_buffer("message"), zmq::send_flags::none);
        }
    }

    /** Runs the loop until @p count messages have been received. */
    bool receive(int count)
    {
        auto const end = std::chrono::steady_clock::now() + limit;
        while (received < count && std::chrono::steady_clock::now() < end) {
            loop.restart();
            loop.run_for(milliseconds{2});
        }
        return received >= count;
    }

    boost::asio::io_context loop;
    zmq::context_t context;
    int const port = free_port();
    int received = 0;
    loop_transport receiver;
    zmq::socket_t sender;
};

TEST_F(message_burst, does_not_keep_the_loop_from_other_work)
{
    constexpr int bound = 100; // of the messages that hundreds of hosts send in a moment
    send(1);
    ASSERT_TRUE(receive(1)); // the connection is open
    send(messages);
    std::this_thread::sleep_for(milliseconds{300}); // until they have arrived
    int most = 0;
    int last = received;
    std::function<void()> other_work = [&] {
        most = std::max(most, received - last);
        last = received;
        boost::asio::post(loop, other_work);
    };
    boost::asio::post(loop, other_work);
    ASSERT_TRUE(receive(messages + 1));
    EXPECT_LE(std::max(most, received - last), bound);
}

TEST_F(message_burst, is_received_to_the_last_message)
{
    for (int burst = 1; burst <= 5; ++burst) {
        send(messages);
        EXPECT_TRUE(receive(burst * messages)) << received;
    }
}

// A host that was told of more addresses than ZeroMQ has sockets ended with an exception.
TEST_F(message_burst, reaches_a_host_after_messages_to_thousands_of_others)
{
    loop_transport many(loop, port, [](std::string const&) {});
    many.send("127.0.0.1", "message");
    ASSERT_TRUE(receive(1));
    for (int i = 0; i < 3000; ++i) {
        many.send("127.1." + std::to_string(i / 250) + "." + std::to_string(1 + i % 250),
                  "message");
    }
    auto const end = std::chrono::steady_clock::now() + limit;
    while (received < 2 && std::chrono::steady_clock::now() < end) {
        many.send("127.0.0.1", "message"); // ZeroMQ may still be ending closed sockets
        loop.restart();
        loop.run_for(milliseconds{20});
    }
    EXPECT_GE(received, 2);
}

/** A sender with a link to the receiver that can be cut. */
class cut_message_link : public message_burst {
protected:
    /** Sends a message each tick. @return the time until one is received, at most @p limit. */
    milliseconds time_to_next_message()
    {
        int const known = received;
        mono_time const begin = read_clocks().mono;
        while (received == known && read_clocks().mono - begin < limit) {
            host.send("127.0.0.1", "message");
            loop.restart();
            loop.run_for(milliseconds{100});
        }
        return std::chrono::duration_cast<milliseconds>(read_clocks().mono - begin);
    }

    static constexpr milliseconds contact{3000}; ///< the shortest of the deployments

    static int port_of(cut_link const& link)
    {
        std::string const address = link.address();
        return std::stoi(address.substr(address.find(':') + 1));
    }

    cut_link link{loop,
                  {boost::asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(port)}};
    loop_transport host{loop, port_of(link), [](std::string const&) {}};
};

TEST_F(cut_message_link, that_drops_all_packets_is_replaced_within_contact)
{
    ASSERT_LT(time_to_next_message(), contact);
    ASSERT_GE(silence_connections_to(port_of(link)), 1);
    EXPECT_LT(time_to_next_message(), contact);
}

TEST_F(cut_message_link, that_is_mute_carries_messages_again_after_a_disconnect)
{
    ASSERT_LT(time_to_next_message(), contact);
    link.cut(link_cut::mute);
    EXPECT_GE(time_to_next_message(), limit);
    host.disconnect("127.0.0.1");
    EXPECT_LT(time_to_next_message(), milliseconds{1000});
}

} // namespace
} // namespace cove
