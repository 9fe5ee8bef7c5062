#include "support/cut_link.h"
#include "support/host_case.h"
#include "support/silent_link.h"

#include <algorithm>

namespace cove {
namespace {

constexpr milliseconds contact{3000}; ///< the shortest of the deployments

class silent_target : public host_case {
protected:
    /** Sends a second request @p wait after the connection of the first one fell silent. */
    void ask_after(milliseconds wait)
    {
        scripted_server target(loop, [](std::string const&) {
            return scripted_answer{
                response("200 OK", "Attempt: a1\r\nSignature: s\r\nKeep-Alive: timeout=15\r\n",
                         "whole body")};
        });
        configure(1, "/a/");
        list({&target});
        ASSERT_EQ(status("/a/1"), 200U);
        int const opened = target.connections;
        ASSERT_GE(silence_connections_to(target.endpoint().port()), 1);
        run_until(
            loop, [] { return false; }, wait);
        EXPECT_EQ(status("/a/2"), 200U);
        EXPECT_EQ(target.connections, opened + 1);
    }
};

TEST_F(silent_target, a_request_is_not_sent_on_a_connection_that_fell_silent_while_idle)
{
    ask_after(contact);
}

TEST_F(silent_target, a_connection_that_fell_silent_is_given_up_half_a_second_after_contact)
{
    ask_after(contact + milliseconds{500});
}

/** Ways in which the open connections to a target fall silent; new ones work. */
enum class silence { dropped, mute };

class silent_connections : public host_case, public testing::WithParamInterface<silence> {
protected:
    static constexpr std::size_t open_connections = 4; ///< as many as the target has slots

    silent_connections()
        : target(loop,
                 [](std::string const&) {
                     return scripted_answer{response(
                         "200 OK", "Attempt: a1\r\nSignature: s\r\nKeep-Alive: timeout=15\r\n",
                         "whole body")};
                 }),
          link(loop, target.endpoint())
    {
    }

    /** Lets the host open all connections and keep them idle. */
    void open()
    {
        auto entries = desk_targets({&target});
        entries[0].address = link.address();
        store.targets_listed({entries, position(1)});
        ASSERT_EQ(ask_at_once(), open_connections);
        ASSERT_EQ(target.connections, static_cast<int>(open_connections));
    }

    /** Sends a request for each slot of the target at once. @return how many are served. */
    std::size_t ask_at_once()
    {
        std::vector<unsigned> statuses;
        std::vector<std::shared_ptr<exchange_connection>> clients;
        for (std::size_t i = 0; i < open_connections; ++i) {
            http_request request(boost::beast::http::verb::put, "/a/" + std::to_string(sent++), 11);
            request.set(boost::beast::http::field::host, "desk.example");
            request.set("Attempt", "a1");
            request.set("Deadline", "1500");
            request.prepare_payload();
            clients.push_back(std::make_shared<exchange_connection>(
                loop, endpoint_of(client_address), exchange_limits{}));
            clients.back()->exchange(std::move(request), nullptr,
                                     [&statuses](exchange_result const& result) {
                                         statuses.push_back(result.response.result_int());
                                     });
        }
        EXPECT_TRUE(run_until(loop, [&] { return statuses.size() == open_connections; }));
        for (auto const& client : clients) {
            client->close();
        }
        return static_cast<std::size_t>(std::count(statuses.begin(), statuses.end(), 200U));
    }

    void silence_open_connections()
    {
        if (GetParam() == silence::mute) {
            link.cut(link_cut::mute);
            return;
        }
        ASSERT_GE(silence_connections_to(endpoint_of(link.address()).port()),
                  static_cast<int>(open_connections));
    }

    int sent = 0;
    scripted_server target;
    cut_link link;
};

TEST_P(silent_connections, of_a_target_cost_one_request_that_may_run_once)
{
    configure(1, "/a/");
    open();
    silence_open_connections();
    EXPECT_EQ(status("/a/lost"), 504U);
    EXPECT_EQ(ask_at_once(), open_connections);
}

TEST_P(silent_connections, of_a_target_carry_no_request_twice)
{
    configure(1, "/a/");
    open();
    silence_open_connections();
    std::map<std::string, int> runs;
    status("/a/lost");
    ask_at_once();
    for (std::string const& head : target.request_heads) {
        ++runs[head.substr(0, head.find("HTTP/"))];
    }
    for (auto const& [line, count] : runs) {
        EXPECT_EQ(count, 1) << line;
    }
}

INSTANTIATE_TEST_SUITE_P(that, silent_connections, testing::Values(silence::dropped, silence::mute),
                         [](auto const& info) -> std::string {
                             return info.param == silence::mute ? "acknowledge" : "drop_packets";
                         });

} // namespace
} // namespace cove
