/** @file Ends of sends that arrive late, when the request is somewhere else or has come back. */

#include "core/hash_func.h"
#include "traffic_fixture.h"

#include <array>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cove {
namespace {

/**
 * Plays random requests, ends and faults to a reducer, and counts the sends of each request. The
 * end of a send is reported up to a second after it, also if the send is cancelled meanwhile.
 */
class random_sends {
public:
    random_sends()
    {
        host.route.max_attempts = draw(1, 5);
        host.route.objective = milliseconds{60}; // an answer that takes 200 ms is late
        host.list(draw(1, 4), draw(1, 5));
        peers_reported peers;
        peers.hosts_in_zone = {node_id("h0"), node_id("h1")};
        peers.hosts_in_total = 2;
        peers.relays = {{zone_id("home"), "10.0.0.1:7"}, {zone_id("home"), "10.0.0.2:7"}};
        perform(peers);
    }

    void run(int steps)
    {
        for (int i = 0; i < steps; ++i) {
            take_step(draw(0, 100));
            check_slots();
        }
    }

private:
    struct request_log {
        bool idempotent = true;
        bool answered = false;
        bool client_left = false;
        int attempts = 0; ///< that reached a target, or may have
        int runs = 0;     ///< attempts and relays that may have run
    };

    struct open_send {
        request_id request;
        std::optional<send_attempt> attempt; ///< else a relay
        std::optional<relay_request> relay;
        attempt_end attempt_result = attempt_end::broken;
        relay_end relay_result = relay_end::broken;
        bool target_ended = false;
        mono_time sent;
        mono_time ends;     ///< from then on, cancelling it does not keep its end from being told
        mono_time reported; ///< to the reducer
        bool cancelled = false;
    };

    static int draw(int from, int to)
    {
        return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(from, to));
    }

    void take_step(int choice)
    {
        constexpr int arrival = 15;
        constexpr int departure = 18;
        constexpr int restart = 22;
        if (choice < arrival) {
            host.route.idempotent = draw(0, 4) > 0;
            request_id const id(host.next++);
            requests[id].idempotent = host.route.idempotent;
            request_arrived event{id,        std::make_shared<route_config const>(host.route),
                                  host.desk, object_key(std::to_string(draw(0, 3))),
                                  "c",       host.deadline};
            event.relayed = draw(0, 4) == 0;
            perform(event);
        }
        else if (choice < departure && !requests.empty()) {
            auto const position = draw(0, static_cast<int>(requests.size()));
            auto const left = std::next(requests.begin(), position);
            left->second.client_left = true;
            perform(client_disconnected{left->first});
        }
        else if (choice < restart) {
            auto& entry = host.entries[static_cast<std::size_t>(
                draw(0, static_cast<int>(host.entries.size())))];
            ++entry.incarnation.value;
            targets_changed changes;
            changes.updated = {entry};
            if (draw(0, 2) == 0) {
                changes.removed = {entry.id};
                removed.insert(entry.id);
            }
            perform(changes);
        }
        else {
            host.now += milliseconds(draw(1, 80));
            report_ends();
            perform(timer_tick{});
        }
    }

    void report_ends()
    {
        for (bool found = true; found;) {
            auto const due = std::find_if(sends.begin(), sends.end(), [this](auto const& send) {
                return send.reported <= host.now;
            });
            found = due != sends.end();
            if (!found) {
                return;
            }
            open_send const ended = *due;
            sends.erase(due);
            if (ended.relay) {
                perform(relay_ended{ended.relay->id, ended.relay_result});
                continue;
            }
            attempt_ended event = host.ended(*ended.attempt, ended.attempt_result);
            event.target_ended = ended.target_ended;
            perform(event);
        }
        while (!probes.empty() && probes.front() <= host.now) {
            probes.erase(probes.begin());
            perform(probe_ended{draw(0, 3) > 0});
        }
    }

    void perform(traffic_event const& event)
    {
        for (traffic_effect const& effect : traffic_effects(host.feed(event))) {
            std::visit([this](auto const& what) { execute(what); }, effect);
        }
    }

    open_send& add_send(request_id id)
    {
        RC_ASSERT_FALSE(requests.at(id).answered);
        RC_ASSERT_FALSE(in_progress(id));
        open_send& added = sends.emplace_back();
        added.request = id;
        added.sent = host.now;
        added.ends = host.now + milliseconds(draw(0, 200));
        added.reported = added.ends + milliseconds(draw(0, 2) == 0 ? 0 : draw(0, 1000));
        return added;
    }

    void execute(send_attempt const& effect)
    {
        using enum attempt_end;
        constexpr std::array ends{succeeded, succeeded,     succeeded,     failed, refused,
                                  refused,   not_connected, not_connected, broken, broken,
                                  broken,    broken,        broken,        broken, wrong_target};
        open_send& added = add_send(effect.attempt.id.request);
        added.attempt = effect;
        added.attempt_result = ends.at(static_cast<std::size_t>(draw(0, ends.size())));
        added.target_ended = added.attempt_result == attempt_end::broken && draw(0, 2) == 0;
        request_log& log = requests.at(added.request);
        log.attempts += added.attempt_result == attempt_end::not_connected ? 0 : 1;
        bool const not_run = added.attempt_result == attempt_end::refused ||
                             added.attempt_result == attempt_end::wrong_target ||
                             added.attempt_result == attempt_end::not_connected;
        log.runs += not_run ? 0 : 1;
        check_counts(log);
    }

    void execute(relay_request const& effect)
    {
        constexpr std::array ends{relay_end::answered, relay_end::refused, relay_end::not_sent,
                                  relay_end::broken};
        open_send& added = add_send(effect.id.request);
        added.relay = effect;
        added.relay_result = ends.at(static_cast<std::size_t>(draw(0, ends.size())));
        request_log& log = requests.at(added.request);
        bool const not_run =
            added.relay_result == relay_end::refused || added.relay_result == relay_end::not_sent;
        log.runs += not_run ? 0 : 1;
        RC_ASSERT(effect.attempts_left >= 1);
        RC_ASSERT(log.attempts + effect.attempts_left <= host.route.max_attempts);
        check_counts(log);
    }

    void check_counts(request_log const& log) const
    {
        RC_ASSERT(log.attempts <= host.route.max_attempts);
        RC_ASSERT(log.idempotent || log.runs <= 1);
    }

    void execute(cancel_attempt const& effect)
    {
        auto const cancelled =
            std::find_if(sends.begin(), sends.end(), [&effect](auto const& send) {
                return (send.attempt ? send.attempt->attempt.id : send.relay->id) == effect.id;
            });
        RC_ASSERT_FALSE(cancelled == sends.end());
        RC_ASSERT_FALSE(cancelled->cancelled);
        cancelled->cancelled = true;
        std::erase_if(sends,
                      [this](auto const& send) { return send.cancelled && send.ends > host.now; });
    }

    /** @return whether a send of the request has neither ended nor been cancelled. */
    [[nodiscard]] bool in_progress(request_id id) const
    {
        return std::any_of(sends.begin(), sends.end(), [id](open_send const& send) {
            return send.request == id && !send.cancelled;
        });
    }

    void answer(request_id id)
    {
        RC_ASSERT_FALSE(requests.at(id).answered);
        RC_ASSERT_FALSE(in_progress(id));
        requests.at(id).answered = true;
    }

    void execute(deliver_answer const& effect) { answer(effect.id); }
    void execute(answer_locally const& effect) { answer(effect.id); }
    void execute(probe_target const& /*effect*/)
    {
        probes.push_back(host.now + milliseconds(draw(0, 250)));
        std::sort(probes.begin(), probes.end());
    }
    template <class Effect>
    void execute(Effect const& /*effect*/)
    {
    }

    /** Each attempt that is not overdue holds one slot, until its end is told or it is cancelled.
     */
    void check_slots() const
    {
        constexpr milliseconds overdue{250};
        auto const counts = host.reducer.in_flight_by_target(host.now);
        for (target_entry const& entry : host.entries) {
            int fresh = 0;
            int all = 0;
            for (open_send const& send : sends) {
                if (send.attempt && !send.cancelled && send.attempt->attempt.target == entry.id) {
                    ++all;
                    fresh += host.now - send.sent <= overdue ? 1 : 0;
                }
            }
            auto const found = counts.find(static_cast<std::uint32_t>(stable_hash(entry.id.value)));
            int const count = found == counts.end() ? 0 : found->second;
            RC_ASSERT(count <= all);
            RC_ASSERT(removed.contains(entry.id) || count >= fresh);
        }
    }

    traffic_fixture host;
    std::map<request_id, request_log> requests;
    std::vector<open_send> sends;
    std::vector<mono_time> probes;
    std::set<target_id> removed; ///< at some time, with the slots that were in use
};

// A host ended with signal 11: the late end of an attempt was taken for that of a later attempt at
// the same target, and the request was sent once more while it was still there.
RC_GTEST_PROP(send_identity, ends_late_by_a_second_never_lead_to_two_sends_at_once, ())
{
    random_sends play;
    constexpr int steps = 300;
    play.run(steps);
}

/** A request that leaves a target and comes back to it before the first attempt there has ended. */
class returned_request : public traffic_fixture, public testing::Test {
protected:
    void SetUp() override
    {
        route.max_attempts = 3;
        route.objective = milliseconds{60}; // an answer that takes 200 ms is late
        list(2);
        id = arrive("object");
        ASSERT_TRUE(single<send_attempt>());
        first = *single<send_attempt>();
        advance(milliseconds{220});
        auto const moved = of_kind<send_attempt>(advance_effects);
        ASSERT_EQ(moved.size(), 1U);
        ASSERT_NE(moved[0].attempt.target, first.attempt.target);
        end(id, moved[0].attempt.target, attempt_end::not_connected);
        ASSERT_TRUE(single<send_attempt>());
        second = *single<send_attempt>();
        ASSERT_EQ(second.attempt.target, first.attempt.target);
    }

    request_id id;
    send_attempt first;  ///< cancelled as late
    send_attempt second; ///< at the same target, in progress
};

// A host ended with signal 11: it sent the request a third time beside the second.
TEST_F(returned_request, is_not_ended_by_the_end_of_its_first_attempt)
{
    for (attempt_end const result : {attempt_end::broken, attempt_end::refused,
                                     attempt_end::not_connected, attempt_end::succeeded}) {
        feed(ended(first, result));
        EXPECT_TRUE(of_kind<send_attempt>(effects).empty());
        EXPECT_TRUE(of_kind<deliver_answer>(effects).empty());
        EXPECT_TRUE(of_kind<answer_locally>(effects).empty());
    }
    feed(ended(second, attempt_end::succeeded));
    EXPECT_TRUE(single<deliver_answer>());
    EXPECT_EQ(reducer.open_requests(), 0U);
}

// The slot of the second attempt was given back, so that the target got more requests than slots.
TEST_F(returned_request, keeps_its_slot_when_its_first_attempt_ends)
{
    auto const before = reducer.in_flight_by_target(now);
    feed(ended(first, attempt_end::broken));
    EXPECT_EQ(reducer.in_flight_by_target(now), before);
    EXPECT_EQ(before.size(), 1U);
}

TEST_F(returned_request, of_a_client_that_has_left_is_not_sent_or_answered_by_late_ends)
{
    feed(client_disconnected{id});
    ASSERT_TRUE(single<cancel_attempt>());
    EXPECT_EQ(single<cancel_attempt>()->id, second.attempt.id);
    for (send_attempt const& sent : {second, first}) {
        feed(ended(sent, attempt_end::broken));
        EXPECT_TRUE(effects.empty());
    }
    EXPECT_TRUE(reducer.in_flight_by_target(now).empty());
}

} // namespace
} // namespace cove
