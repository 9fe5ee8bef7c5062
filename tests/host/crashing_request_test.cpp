/** @file Requests that end the targets that run them. */

#include "support/crashing_target.h"
#include "support/zone_case.h"

namespace cove {
namespace {

/** Two hosts, six targets that a request to /a/fatal ends, and clients of both hosts. */
class crashing_request_case : public zone_case {
protected:
    static constexpr int host_count = 2;
    static constexpr std::size_t target_count = 6;
    static constexpr std::size_t object_count = 40;
    static constexpr milliseconds request_interval{33};

    crashing_request_case() : zone_case(host_count) {}

    void start()
    {
        config_document document = desk_config(1, "/a/", true);
        document.config.routes[0].sticky = true;
        // A target that is back carries its usual share, so that only its end is felt.
        document.config.services[service_id("desk")].cold_rate = 20;
        std::vector<target_entry> entries;
        for (std::size_t i = 0; i < target_count; ++i) {
            targets.push_back(
                std::make_unique<crashing_target>(loop, served, [](std::string const& head) {
                    return head.find("/a/fatal") != std::string::npos;
                }));
            target_entry entry;
            entry.id = target_id("t" + std::to_string(i));
            entry.service = service_id("desk");
            entry.address = targets.back()->address();
            entry.zone = zone_id("east");
            entry.slots = 8;
            entries.push_back(entry);
        }
        for (store_hooks& store : stores) {
            store.hosts_listed({});
            store.config(document);
            store.targets_listed({entries, position(1)});
        }
        ASSERT_TRUE(run_until(
            loop, [this] { return all_know_each_other(); }, milliseconds{10'000}));
    }

    void send(std::size_t host, std::string const& path, std::string const& object,
              std::map<unsigned, int>& statuses)
    {
        auto const connection = std::make_shared<exchange_connection>(
            loop, endpoint_of(clients[host]), exchange_limits{});
        http_request request(boost::beast::http::verb::put, path, 11);
        request.set(boost::beast::http::field::host, "desk.example");
        request.set("Attempt", "a1");
        request.set("Deadline", "900");
        request.set("Object", object);
        request.prepare_payload();
        connection->exchange(std::move(request), nullptr,
                             [&statuses, connection](exchange_result const& result) {
                                 ++statuses[result.response.result_int()];
                                 connection->close();
                             });
    }

    /** Sends the fatal request from a certain address of the caller and waits for no answer. */
    void send_fatal_from(std::string const& ip, std::size_t host)
    {
        auto const socket = std::make_shared<boost::asio::ip::tcp::socket>(loop);
        socket->open(boost::asio::ip::tcp::v4());
        socket->bind({boost::asio::ip::make_address(ip), 0});
        socket->connect(endpoint_of(clients[host]));
        static std::string const request =
            "PUT /a/fatal HTTP/1.1\r\nHost: desk.example\r\nAttempt: a1\r\nDeadline: 900\r\n"
            "Object: x\r\nContent-Length: 0\r\n\r\n";
        boost::asio::write(*socket, boost::asio::buffer(request));
        auto const answer = std::make_shared<boost::asio::streambuf>();
        boost::asio::async_read_until(*socket, *answer, "\r\n\r\n",
                                      [socket, answer](boost::system::error_code, std::size_t) {});
    }

    /** Sends requests to the hosts in turn; @p also is called before each, with its number. */
    void load_for(milliseconds time, std::function<void(int)> const& also)
    {
        auto const end = read_clocks().mono + time;
        for (int i = 0; read_clocks().mono < end; ++i) {
            also(i);
            std::string const number = std::to_string(sent);
            send(sent++ % clients.size(), "/a/" + number, std::to_string(sent % object_count),
                 statuses);
            run_until(
                loop, [] { return false; }, request_interval / host_count);
        }
    }

    int ends() const
    {
        int count = 0;
        for (auto const& target : targets) {
            count += target->ends;
        }
        return count;
    }

    int fatal_requests() const
    {
        int count = 0;
        for (auto const& target : targets) {
            count += target->fatal_requests;
        }
        return count;
    }

    std::vector<std::unique_ptr<crashing_target>> targets;
    std::size_t sent = 0;
    std::map<unsigned, int> statuses;       ///< of the answers to the other requests
    std::map<unsigned, int> fatal_statuses; ///< of the answers to the fatal request
};

TEST_F(crashing_request_case, a_request_that_ended_three_targets_reaches_no_more)
{
    constexpr int interval = 24; // requests of others between two copies
    start();
    load_for(milliseconds{1000}, [](int) {});
    std::optional<mono_time> third_end;
    int reached_after_contact = 0;
    constexpr milliseconds contact{3000};
    std::size_t const before = sent;
    int const served_before = statuses[200];
    load_for(milliseconds{9000}, [&](int i) {
        if (!third_end && ends() >= 3) {
            third_end = read_clocks().mono;
        }
        if (third_end && read_clocks().mono < *third_end + contact) {
            reached_after_contact = fatal_requests();
        }
        if (i % interval == 0) {
            send(static_cast<std::size_t>(i / interval) % clients.size(), "/a/fatal", "x",
                 fatal_statuses);
        }
    });
    ASSERT_TRUE(third_end);
    EXPECT_LE(fatal_requests() - reached_after_contact, 3);
    EXPECT_LE(ends(), 3); // the copies do not overlap
    EXPECT_GE(statuses[200] - served_before, static_cast<int>(sent - before) * 95 / 100);
}

TEST_F(crashing_request_case, a_fatal_request_is_known_again_from_another_address_of_its_caller)
{
    constexpr int interval = 24; // requests of others between two copies
    start();
    load_for(milliseconds{1000}, [](int) {});
    load_for(milliseconds{5000}, [&](int i) {
        if (i % interval == 0) {
            int const copy = i / interval;
            send_fatal_from("127.0.1." + std::to_string(1 + copy),
                            static_cast<std::size_t>(copy) % clients.size());
        }
    });
    EXPECT_EQ(ends(), 3);
}

TEST_F(crashing_request_case, targets_that_end_one_after_the_other_convict_no_request)
{
    constexpr int interval = 24; // requests of others between two ends
    start();
    for (auto const& target : targets) {
        target->down_time = milliseconds{300};
    }
    load_for(milliseconds{1000}, [](int) {});
    load_for(milliseconds{8000}, [&](int i) {
        if (i % interval == 0) {
            targets[static_cast<std::size_t>(i / interval) % target_count]->crash();
        }
    });
    EXPECT_GE(ends(), 15);
    EXPECT_GE(statuses[200], static_cast<int>(sent) * 95 / 100);
    std::map<unsigned, int> afterwards;
    run_until(
        loop, [] { return false; }, milliseconds{4000}); // no target is cold any more
    for (std::size_t i = 0; i < sent; i += 10) {
        send(i % clients.size(), "/a/" + std::to_string(i), std::to_string((i + 1) % object_count),
             afterwards);
        run_until(
            loop, [] { return false; }, request_interval / host_count);
    }
    run_until(
        loop, [] { return false; }, milliseconds{500});
    EXPECT_EQ(afterwards[200], static_cast<int>((sent + 9) / 10));
    for (std::size_t host = 0; host < host_count; ++host) {
        EXPECT_EQ(metric(host, "cove_blocked_requests"), 0U);
    }
}

} // namespace
} // namespace cove
