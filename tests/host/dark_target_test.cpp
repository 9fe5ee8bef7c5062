/** @file Targets that end and do not answer attempts to connect, so that their end is noted late.
 */

#include "support/crashing_target.h"
#include "support/cut_link.h"
#include "support/host_case.h"

#include <array>

namespace cove {
namespace {

/** Two targets, each behind a link that can be cut, and a route that allows three attempts. */
class dark_target : public host_case {
protected:
    static constexpr milliseconds service_time{70};
    static constexpr milliseconds time_to_end{50};     ///< of a target, after it got the request
    static constexpr milliseconds time_to_return{300}; ///< of the other target
    /// Of the other target after its return; the exchanges begun before end within it.
    static constexpr milliseconds long_service_time{250};
    static constexpr int warm_up_requests = 6;

    dark_target()
    {
        config_document document = desk_config(1, "/a/", true);
        document.config.routes[0].max_attempts = 3;
        document.config.routes[0].objective = service_time; // the first estimate of it
        // A single host without peers sends nothing to cold targets.
        document.config.services[service_id("desk")].cold_period = milliseconds{0};
        store.config(document);
        std::vector<target_entry> entries;
        for (std::size_t i = 0; i < targets.size(); ++i) {
            targets[i] = std::make_unique<crashing_target>(
                loop, served, [](std::string const&) { return false; });
            targets[i]->service_time = service_time;
            links[i] = std::make_unique<cut_link>(loop, endpoint_of(targets[i]->address()));
            target_entry entry;
            entry.id = target_id("t" + std::to_string(i));
            entry.service = service_id("desk");
            entry.address = links[i]->address();
            entry.zone = zone_id("east");
            entry.slots = 4;
            entries.push_back(entry);
        }
        // With a target that does not fail, the host does not take itself for cut off.
        entries.push_back(entries.back());
        entries.back().id = target_id("t2");
        entries.back().service = service_id("other");
        store.targets_listed({entries, position(1)});
    }

    /** Serves a few requests, from which the host learns the usual time. */
    void warm_up()
    {
        for (int i = 0; i < warm_up_requests; ++i) {
            ASSERT_EQ(status("/a/0"), 200U);
        }
    }

    /** Sends a request on `connection`. @return the index of the target that runs it. */
    std::size_t send(std::function<void(unsigned status)> const& done)
    {
        std::array const before{targets[0]->requests, targets[1]->requests};
        connection = std::make_shared<exchange_connection>(loop, endpoint_of(client_address),
                                                           exchange_limits{});
        http_request request(boost::beast::http::verb::put, "/a/1", 11);
        request.set(boost::beast::http::field::host, "desk.example");
        request.set("Attempt", "a1");
        request.set("Deadline", "1500");
        request.prepare_payload();
        connection->exchange(std::move(request), nullptr, [done](exchange_result const& result) {
            done(result.response.result_int());
        });
        EXPECT_TRUE(run_until(loop, [&] {
            return targets[0]->requests > before[0] || targets[1]->requests > before[1];
        }));
        return targets[0]->requests > before[0] ? 0 : 1;
    }

    void wait(milliseconds time)
    {
        run_until(
            loop, [] { return false; }, time);
    }

    void expect_no_failed_requests()
    {
        auto const text = exchange_once(
            loop, metrics_address, http_request(boost::beast::http::verb::get, "/metrics", 11));
        EXPECT_NE(text.response.body().find("cove_failed_requests 0\n"), std::string::npos)
            << text.response.body();
    }

    std::array<std::unique_ptr<crashing_target>, 2> targets;
    std::array<std::unique_ptr<cut_link>, 2> links;
    std::shared_ptr<exchange_connection> connection; ///< of the last client
};

// A host ended with signal 11: the end of the first attempt, which waits for a probe, was taken for
// that of a later attempt at the same target, and the ends of two exchanges met one connection.
TEST_F(dark_target, that_a_request_comes_back_to_does_not_end_the_host)
{
    warm_up();
    std::optional<unsigned> answered;
    std::size_t const first = send([&](unsigned status) { answered = status; });
    std::size_t const other = 1 - first;
    wait(time_to_end);
    links[first]->cut(link_cut::dark);
    links[other]->cut(link_cut::reset);
    wait(time_to_return);
    links[other]->mend();
    targets[other]->service_time = long_service_time;
    EXPECT_TRUE(run_until(loop, [&] { return answered.has_value(); }));
    EXPECT_EQ(answered, 200U);
    expect_no_failed_requests();
}

// The end of an attempt that is told after its request is gone must meet no other request.
TEST_F(dark_target, whose_client_leaves_before_its_end_is_known_does_not_end_the_host)
{
    warm_up();
    std::size_t const first = send([](unsigned) {});
    wait(time_to_end);
    links[first]->cut(link_cut::dark);
    wait(milliseconds{20}); // the host has lost its connection and tests the target
    connection->close();
    wait(time_to_return);
    EXPECT_EQ(status("/a/2"), 200U); // at the other target
    expect_no_failed_requests();
}

} // namespace
} // namespace cove
