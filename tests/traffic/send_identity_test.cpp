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
        host_.route.max_attempts = draw(1, 5);
        host_.route.objective = milliseconds{60}; // an answer that takes 200 ms is late
        host_.list(draw(1, 4), draw(1, 5));
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
            host_.route.idempotent = draw(0, 4) > 0;
            request_id const id(host_.next++);
            requests_[id].idempotent = host_.route.idempotent;
            request_arrived event{id,         std::make_shared<route_config const>(host_.route),
                                  host_.desk, object_key(std::to_string(draw(0, 3))),
                                  "c",        host_.deadline};
            event.relayed = draw(0, 4) == 0;
            perform(event);
        }
        else if (choice < departure && !requests_.empty()) {
            auto const position = draw(0, static_cast<int>(requests_.size()));
            auto const left = std::next(requests_.begin(), position);
            perform(client_disconnected{left->first});
        }
        else if (choice < restart) {
            auto& entry = host_.entries[static_cast<std::size_t>(
                draw(0, static_cast<int>(host_.entries.size())))];
            ++entry.incarnation.value;
            targets_changed changes;
            changes.updated = {entry};
            if (draw(0, 2) == 0) {
                changes.removed = {entry.id};
                removed_.insert(entry.id);
            }
            perform(changes);
        }
        else {
            host_.now += milliseconds(draw(1, 80));
            report_ends();
            perform(timer_tick{});
        }
    }

    void report_ends()
    {
        while (true) {
            auto const due = std::find_if(sends_.begin(), sends_.end(), [this](auto const& send) {
                return send.reported <= host_.now;
            });
            if (due == sends_.end()) {
                break;
            }
            open_send const ended = *due;
            sends_.erase(due);
            if (ended.relay) {
                perform(relay_ended{ended.relay->id, ended.relay_result});
                continue;
            }
            attempt_ended event = host_.ended(*ended.attempt, ended.attempt_result);
            event.target_ended = ended.target_ended;
            perform(event);
        }
        while (!probes_.empty() && probes_.front() <= host_.now) {
            probes_.erase(probes_.begin());
            perform(probe_ended{draw(0, 3) > 0});
        }
    }

    void perform(traffic_event const& event)
    {
        for (traffic_effect const& effect : traffic_effects(host_.feed(event))) {
            std::visit([this](auto const& what) { execute(what); }, effect);
        }
    }

    open_send& add_send(request_id id)
    {
        RC_ASSERT_FALSE(requests_.at(id).answered);
        RC_ASSERT_FALSE(in_progress(id));
        open_send& added = sends_.emplace_back();
        added.request = id;
        added.sent = host_.now;
        added.ends = host_.now + milliseconds(draw(0, 200));
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
        request_log& log = requests_.at(added.request);
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
        request_log& log = requests_.at(added.request);
        bool const not_run =
            added.relay_result == relay_end::refused || added.relay_result == relay_end::not_sent;
        log.runs += not_run ? 0 : 1;
        RC_ASSERT(effect.attempts_left >= 1);
        RC_ASSERT(log.attempts + effect.attempts_left <= host_.route.max_attempts);
        check_counts(log);
    }

    void check_counts(request_log const& log) const
    {
        RC_ASSERT(log.attempts <= host_.route.max_attempts);
        RC_ASSERT(log.idempotent || log.runs <= 1);
    }

    void execute(cancel_attempt const& effect)
    {
        auto const cancelled =
            std::find_if(sends_.begin(), sends_.end(), [&effect](auto const& send) {
                return (send.attempt ? send.attempt->attempt.id : send.relay->id) == effect.id;
            });
        RC_ASSERT_FALSE(cancelled == sends_.end());
        RC_ASSERT_FALSE(cancelled->cancelled);
        cancelled->cancelled = true;
        std::erase_if(sends_,
                      [this](auto const& send) { return send.cancelled && send.ends > host_.now; });
    }

    /** @return whether a send of the request has neither ended nor been cancelled. */
    [[nodiscard]] bool in_progress(request_id id) const
    {
        return std::any_of(sends_.begin(), sends_.end(), [id](open_send const& send) {
            return send.request == id && !send.cancelled;
        });
    }

    void answer(request_id id)
    {
        RC_ASSERT_FALSE(requests_.at(id).answered);
        RC_ASSERT_FALSE(in_progress(id));
        requests_.at(id).answered = true;
    }

    void execute(deliver_answer const& effect) { answer(effect.id); }
    void execute(answer_locally const& effect) { answer(effect.id); }
    void execute(probe_target const& /*effect*/)
    {
        probes_.push_back(host_.now + milliseconds(draw(0, 250)));
        std::sort(probes_.begin(), probes_.end());
    }
    template <class Effect>
    void execute(Effect const& /*effect*/)
    {
    }

    /** Each attempt that is not overdue holds one slot until it ends or is cancelled. */
    void check_slots() const
    {
        constexpr milliseconds overdue{250};
        auto const counts = host_.reducer.in_flight_by_target(host_.now);
        for (target_entry const& entry : host_.entries) {
            int fresh = 0;
            int all = 0;
            for (open_send const& send : sends_) {
                if (send.attempt && !send.cancelled && send.attempt->attempt.target == entry.id) {
                    ++all;
                    fresh += host_.now - send.sent <= overdue ? 1 : 0;
                }
            }
            auto const found = counts.find(static_cast<std::uint32_t>(stable_hash(entry.id.value)));
            int const count = found == counts.end() ? 0 : found->second;
            RC_ASSERT(count <= all);
            RC_ASSERT(removed_.contains(entry.id) || count >= fresh);
        }
    }

    traffic_fixture host_;
    std::map<request_id, request_log> requests_;
    std::vector<open_send> sends_;
    std::vector<mono_time> probes_;
    std::set<target_id> removed_; ///< at some time, with what was known of their slots
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

// The end of an attempt that was told after its request was gone met a later one.
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

/** A request that has left a target as its answer was late; the first attempt ends after that. */
class late_end : public traffic_fixture, public testing::Test {
protected:
    void SetUp() override
    {
        route.objective = milliseconds{60}; // an answer that takes 200 ms is late
        feed(crash_retention_changed{milliseconds{60'000}});
        list(2, 8);
        id = arrive("object");
        ASSERT_TRUE(single<send_attempt>());
        left = *single<send_attempt>();
        advance(milliseconds{220});
        ASSERT_EQ(of_kind<send_attempt>(advance_effects).size(), 1U);
        ASSERT_NE(attempts.at(id).target, left.attempt.target);
    }

    /** @return whether a request that prefers the target that was left is sent there. */
    bool gets_requests()
    {
        arrive("object");
        return single<send_attempt>() &&
               single<send_attempt>()->attempt.target == left.attempt.target;
    }

    /** The target that was left starts again. */
    void restart()
    {
        auto const found =
            std::find_if(entries.begin(), entries.end(), [this](target_entry const& entry) {
                return entry.id == left.attempt.target;
            });
        ++found->incarnation.value;
        feed(targets_changed{{*found}, {}});
    }

    request_id id;
    send_attempt left; ///< cancelled as late
};

// Only what a late end says against its target may keep requests away.
TEST_F(late_end, leaves_the_target_in_use_if_it_says_nothing_against_it)
{
    feed(ended(left, attempt_end::succeeded));
    EXPECT_TRUE(gets_requests());
}

// What the end says of the target was dropped, so that more requests went to one that had ended.
TEST_F(late_end, of_a_target_that_has_ended_keeps_requests_away)
{
    attempt_ended event = ended(left, attempt_end::broken);
    event.target_ended = true;
    feed(event);
    EXPECT_FALSE(gets_requests());
}

// A target that shuts down got requests for as long as the list did not show that it leaves.
TEST_F(late_end, with_the_notice_that_the_target_leaves_is_obeyed)
{
    attempt_ended event = ended(left, attempt_end::failed);
    event.notice = target_notice{std::nullopt, true};
    feed(event);
    EXPECT_FALSE(gets_requests());
}

// A target that had asked for a pause got more requests.
TEST_F(late_end, with_a_pause_that_the_target_asks_for_is_obeyed)
{
    attempt_ended event = ended(left, attempt_end::refused);
    event.notice = target_notice{std::nullopt, false, milliseconds{500}};
    feed(event);
    EXPECT_FALSE(gets_requests());
    advance(milliseconds{600});
    EXPECT_TRUE(gets_requests());
}

// The end of a former incarnation was held against the one that had just started.
TEST_F(late_end, says_nothing_of_a_target_that_has_started_again)
{
    restart();
    attempt_ended event = ended(left, attempt_end::broken);
    event.target_ended = true;
    event.notice = target_notice{std::nullopt, true, milliseconds{500}};
    feed(event);
    EXPECT_TRUE(gets_requests());
}

// The same for an attempt that the request still waits for.
TEST_F(late_end, of_a_request_in_progress_says_nothing_of_a_target_that_has_started_again)
{
    request_id const running = arrive("object");
    ASSERT_TRUE(single<send_attempt>());
    left = *single<send_attempt>();
    restart();
    attempt_ended event = ended(left, attempt_end::broken);
    event.target_ended = true;
    feed(event);
    ASSERT_NE(attempts.at(running).id, left.attempt.id); // it was sent once more
    EXPECT_TRUE(gets_requests());
    EXPECT_EQ(reducer.in_flight_by_target(now).size(), 2U);
}

// A request that had moved on when its target ended was not counted among those that end targets.
TEST_F(late_end, convicts_the_request_under_which_that_incarnation_ended)
{
    restart();
    attempt_ended event = ended(left, attempt_end::broken);
    event.target_ended = true;
    feed(event);
    auto const reports = of_kind<report_crashes>(effects);
    ASSERT_EQ(reports.size(), 1U);
    ASSERT_EQ(reports[0].records.size(), 1U);
    ASSERT_EQ(reports[0].records[0].ends.size(), 1U);
    EXPECT_EQ(reports[0].records[0].ends[0].target, left.attempt.target);
    EXPECT_EQ(reports[0].records[0].ends[0].incarnation, target_incarnation(1));
}

} // namespace
} // namespace cove
