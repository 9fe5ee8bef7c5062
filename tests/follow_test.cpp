#include "follow/follower.h"
#include "follow/lag_detector.h"
#include "support/position.h"
#include "support/scripted_server.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cove {
namespace {

/** A follower whose calls to the store are answered by the test. */
class follower_case : public testing::Test {
protected:
    follower_case() : timers(loop), subject(timers, calls(), 1) {}

    follow_calls calls()
    {
        follow_calls out;
        out.list = [this](read_freshness freshness, follow_calls::done done) {
            ++lists;
            list_freshness = freshness;
            answer = std::move(done);
        };
        out.watch = [this](store_position from, watch_times times, follow_calls::done done) {
            ++watches;
            watch_start = from;
            watch_wait = times.wait;
            watch_timeout = times.timeout;
            answer = std::move(done);
        };
        out.abort = [this] {
            ++aborts;
            answer = nullptr;
        };
        out.reachable = [this](bool up, std::string const&) { up ? ++regained : ++lost; };
        out.proved = [this](boot_time at, store_era) { proofs.push_back(at); };
        return out;
    }

    void reply(follow_status status, std::uint64_t at = 0, std::uint64_t era = 1)
    {
        auto const done = std::move(answer);
        answer = nullptr;
        done({status, position(at, era), "detail"});
    }

    /** Lets the follower wait for changes after revision 40 of the first era. */
    void watch_from_40()
    {
        subject.set_active(true);
        subject.start(true);
        reply(follow_status::done, 40);
        ASSERT_TRUE(calls_again());
        ASSERT_EQ(watches, 1);
    }

    bool calls_again()
    {
        return run_until(
            loop, [this] { return answer != nullptr; }, milliseconds{2000});
    }

    void pass(milliseconds time)
    {
        run_until(
            loop, [] { return false; }, time);
    }

    boost::asio::io_context loop;
    loop_timers timers;
    follow_calls::done answer;
    std::vector<boot_time> proofs;
    int lists = 0;
    int watches = 0;
    int aborts = 0;
    int lost = 0;
    int regained = 0;
    store_position watch_start;
    milliseconds watch_wait{};
    milliseconds watch_timeout{};
    read_freshness list_freshness = read_freshness::current;
    follower subject;
};

TEST_F(follower_case, waits_for_the_batch_delay_before_the_next_watch)
{
    subject.set_batch_delay(milliseconds{400});
    subject.start(true);
    subject.set_active(true);
    reply(follow_status::done, 7);
    mono_time const listed = read_clocks().mono;
    ASSERT_TRUE(calls_again());
    EXPECT_EQ(watches, 1);
    EXPECT_GE(read_clocks().mono - listed, milliseconds{400});
}

// Guards against a proof by a failed or early answer that reaches beyond the start of the call.
TEST_F(follower_case, an_answer_proves_the_start_of_its_call)
{
    boot_time const before = read_boot_clock();
    subject.set_active(true);
    subject.start(true);
    boot_time const started = read_boot_clock();
    reply(follow_status::done, 40);
    ASSERT_EQ(proofs.size(), 1U);
    EXPECT_GE(proofs[0], before);
    EXPECT_LE(proofs[0], started);
    ASSERT_TRUE(calls_again());
    reply(follow_status::done, 40); // long before the end of its wait
    ASSERT_EQ(proofs.size(), 2U);
    EXPECT_LE(proofs[1], read_boot_clock());
    ASSERT_TRUE(calls_again());
    reply(follow_status::failed);
    EXPECT_EQ(proofs.size(), 2U);
}

// Guards against an age of the proof that grows as long as a watch waits.
TEST_F(follower_case, a_watch_is_replaced_by_one_that_does_not_wait)
{
    watch_from_40();
    subject.watch_without_wait();
    EXPECT_EQ(aborts, 1);
    EXPECT_EQ(watches, 2);
    EXPECT_EQ(watch_wait, milliseconds{0});
    subject.watch_without_wait(); // is answered at once anyway
    EXPECT_EQ(aborts, 1);
    reply(follow_status::done, 40);
    EXPECT_EQ(proofs.size(), 2U);
    ASSERT_TRUE(calls_again());
    EXPECT_GT(watch_wait, milliseconds{0});
}

// A follower that had evidence of a silent store needed two time-outs to believe it.
TEST_F(follower_case, a_doubted_store_that_does_not_answer_is_lost_after_one_time_out)
{
    watch_from_40();
    subject.doubt("reported");
    EXPECT_EQ(aborts, 1);
    ASSERT_EQ(watches, 2);
    EXPECT_EQ(watch_wait, milliseconds{0});
    pass(watch_timeout + milliseconds{10});
    reply(follow_status::failed);
    EXPECT_EQ(lost, 1);
}

// Without evidence, e.g. to renew a proof, one slow answer is no loss.
TEST_F(follower_case, a_watch_without_wait_that_is_not_answered_is_repeated_before_a_loss)
{
    watch_from_40();
    subject.watch_without_wait();
    pass(watch_timeout + milliseconds{10});
    reply(follow_status::failed);
    EXPECT_EQ(lost, 0);
    ASSERT_NE(answer, nullptr);
}

// The next watch waited on a dead connection until the bound on silence.
TEST_F(follower_case,
       a_doubt_between_two_watches_makes_the_next_one_ask_at_once_on_a_new_connection)
{
    watch_from_40();
    reply(follow_status::done, 40);
    subject.doubt("reported");
    EXPECT_EQ(aborts, 1);
    EXPECT_EQ(watches, 1);
    ASSERT_TRUE(calls_again());
    EXPECT_EQ(watch_wait, milliseconds{0});
    reply(follow_status::done, 41);
    EXPECT_EQ(lost, 0);
    ASSERT_TRUE(calls_again());
    EXPECT_GT(watch_wait, milliseconds{0});
}

TEST_F(follower_case, a_doubt_counts_for_a_watch_without_wait_that_is_under_way)
{
    watch_from_40();
    subject.watch_without_wait();
    pass(milliseconds{100});
    subject.doubt("reported");
    EXPECT_EQ(watches, 2);
    EXPECT_EQ(aborts, 1);
    pass(watch_timeout - milliseconds{90});
    reply(follow_status::failed);
    EXPECT_EQ(lost, 1);
}

TEST_F(follower_case, a_false_doubt_costs_one_call_and_loses_nothing)
{
    watch_from_40();
    subject.doubt("reported");
    subject.doubt("reported");
    reply(follow_status::done, 42);
    EXPECT_EQ(lost, 0);
    EXPECT_EQ(watches, 2);
    ASSERT_TRUE(calls_again());
    EXPECT_EQ(watch_start, position(42));
    EXPECT_GT(watch_wait, milliseconds{0});
}

TEST_F(follower_case, a_doubt_while_inactive_causes_no_call)
{
    subject.start(true);
    reply(follow_status::done, 40);
    subject.doubt("reported");
    subject.expect_answer();
    pass(follower::answer_grace + follower::default_batch_delay + milliseconds{50});
    EXPECT_EQ(watches, 0);
}

// The second follower's pushes hid from the first one that its store said nothing.
TEST_F(follower_case, doubts_a_store_that_does_not_deliver_what_a_peer_has_delivered)
{
    watch_from_40();
    subject.expect_answer();
    pass(follower::default_batch_delay + follower::answer_grace + milliseconds{50});
    EXPECT_EQ(aborts, 1);
    ASSERT_EQ(watches, 2);
    EXPECT_EQ(watch_wait, milliseconds{0});
    pass(watch_timeout + milliseconds{10});
    reply(follow_status::failed);
    EXPECT_EQ(lost, 1);
}

TEST_F(follower_case, does_not_doubt_a_store_that_delivers_a_change_a_little_after_a_peer)
{
    watch_from_40();
    subject.expect_answer();
    pass(milliseconds{200});
    reply(follow_status::done, 41);
    pass(follower::default_batch_delay + follower::answer_grace + milliseconds{50});
    EXPECT_EQ(aborts, 0);
    EXPECT_EQ(watches, 2);
    EXPECT_GT(watch_wait, milliseconds{0});
}

// Each call to the store is charged.
TEST_F(follower_case, changes_from_peers_in_series_cause_one_doubt)
{
    watch_from_40();
    for (int i = 0; i < 10; ++i) {
        subject.expect_answer();
        pass(milliseconds{120});
        if (answer && watch_wait == milliseconds{0}) {
            reply(follow_status::done, 40);
        }
    }
    EXPECT_EQ(aborts, 1);
    EXPECT_LE(watches, 3); // the one that was replaced, its replacement and the next one
    EXPECT_EQ(lost, 0);
}

TEST_F(follower_case, lists_once_and_then_watches_from_the_last_revision)
{
    subject.set_active(true);
    subject.start(true);
    reply(follow_status::done, 40);
    ASSERT_TRUE(calls_again());
    EXPECT_EQ(watch_start, position(40));
    reply(follow_status::done, 44);
    ASSERT_TRUE(calls_again());
    EXPECT_EQ(watch_start, position(44));
    EXPECT_EQ(lists, 1);
}

TEST_F(follower_case, lists_again_when_the_history_has_expired)
{
    subject.set_active(true);
    subject.start(true);
    reply(follow_status::done, 40);
    ASSERT_TRUE(calls_again());
    reply(follow_status::history_expired);
    EXPECT_EQ(lists, 2);
}

TEST_F(follower_case, watches_from_the_revision_of_the_list_after_the_store_went_back)
{
    subject.set_active(true);
    subject.start(true);
    reply(follow_status::done, 40);
    ASSERT_TRUE(calls_again());
    reply(follow_status::history_expired); // it came back from an older copy
    reply(follow_status::done, 30);
    ASSERT_TRUE(calls_again());
    EXPECT_EQ(watch_start, position(30));
}

// What was written below the revision of the copy is missing in the changes of a later era.
TEST_F(follower_case, lists_again_when_a_watch_is_answered_in_a_later_era)
{
    watch_from_40();
    reply(follow_status::done, 45, 2);
    ASSERT_TRUE(calls_again());
    EXPECT_EQ(lists, 2);
    EXPECT_EQ(list_freshness, read_freshness::current);
    reply(follow_status::done, 46, 2);
    ASSERT_TRUE(calls_again());
    EXPECT_EQ(watch_start, position(46, 2));
}

TEST_F(follower_case, lists_again_after_a_refusal_that_names_a_later_era)
{
    watch_from_40();
    reply(follow_status::failed, 0, 2);
    ASSERT_TRUE(calls_again());
    EXPECT_EQ(lists, 2);
}

TEST_F(follower_case, lists_at_once_when_it_is_told_of_a_later_era)
{
    watch_from_40();
    subject.enter_era(store_era(2));
    EXPECT_EQ(aborts, 1);
    EXPECT_EQ(lists, 2);
    subject.enter_era(store_era(2)); // the list is under way
    EXPECT_EQ(lists, 2);
}

TEST_F(follower_case, lists_in_the_later_era_once_it_is_active)
{
    subject.start(true);
    reply(follow_status::done, 40);
    subject.enter_era(store_era(2));
    EXPECT_EQ(lists, 1);
    subject.set_active(true);
    EXPECT_EQ(lists, 2);
}

TEST_F(follower_case, does_not_take_a_list_of_an_earlier_era)
{
    subject.set_active(true);
    subject.start(true);
    subject.enter_era(store_era(2));
    reply(follow_status::done, 40, 1);
    ASSERT_TRUE(calls_again());
    EXPECT_EQ(lists, 2);
    EXPECT_EQ(watches, 0);
}

TEST_F(follower_case, reports_loss_and_return_of_the_store_once)
{
    subject.set_active(true);
    subject.start(true);
    reply(follow_status::failed);
    ASSERT_TRUE(calls_again());
    reply(follow_status::failed);
    ASSERT_TRUE(calls_again());
    EXPECT_FALSE(subject.reachable());
    reply(follow_status::done, 1);
    EXPECT_EQ(lost, 1);
    EXPECT_EQ(regained, 1);
    EXPECT_TRUE(subject.reachable());
}

TEST_F(follower_case, asks_without_a_wait_whether_a_lost_store_is_back)
{
    subject.set_active(true);
    subject.set_silence_max(milliseconds{4000} + watch_timing::max_timeout);
    subject.start(true);
    reply(follow_status::done, 40);
    ASSERT_TRUE(calls_again());
    EXPECT_EQ(watch_wait, milliseconds{4000});
    reply(follow_status::failed);
    ASSERT_TRUE(calls_again());
    EXPECT_EQ(watch_wait, milliseconds{0});
    reply(follow_status::done, 40);
    ASSERT_TRUE(calls_again());
    EXPECT_EQ(watch_wait, milliseconds{4000});
}

TEST_F(follower_case, asks_at_once_after_a_watch_that_heard_nothing_for_all_of_its_time)
{
    subject.set_silence_max(milliseconds{60});
    watch_from_40();
    run_until(
        loop, [] { return false; }, milliseconds{70});
    reply(follow_status::failed);
    EXPECT_TRUE(run_until(
        loop, [this] { return answer != nullptr; }, milliseconds{20}));
    EXPECT_EQ(watch_wait, milliseconds{0});
}

TEST_F(follower_case, waits_before_it_repeats_a_list_that_was_refused)
{
    subject.set_active(true);
    subject.start(true);
    reply(follow_status::failed);
    EXPECT_FALSE(run_until(
        loop, [this] { return answer != nullptr; }, milliseconds{80}));
}

// A host that became the first one of its zone believed its long watch for 9.5 s.
TEST_F(follower_case, replaces_a_watch_that_takes_longer_than_it_may_from_now_on)
{
    watch_from_40();
    subject.set_silence_max(watch_timing::default_silence_max);
    EXPECT_EQ(aborts, 0);
    subject.set_silence_max(milliseconds{3000});
    EXPECT_EQ(aborts, 1);
    EXPECT_EQ(watches, 2);
    EXPECT_LE(watch_wait + watch_timeout, milliseconds{3000});
    subject.set_silence_max(milliseconds{3000});
    EXPECT_EQ(watches, 2);
}

TEST_F(follower_case, replaces_a_watch_that_has_already_taken_longer_than_it_may)
{
    subject.set_silence_max(milliseconds{300});
    watch_from_40();
    run_until(
        loop, [] { return false; }, milliseconds{250});
    subject.set_silence_max(milliseconds{100});
    EXPECT_EQ(aborts, 1);
    EXPECT_EQ(watches, 2);
}

// With a bound under 1.5 s each call to a lost store was replaced again and again.
TEST_F(follower_case, leaves_a_call_to_a_lost_store_alone)
{
    subject.set_silence_max(milliseconds{60});
    watch_from_40();
    reply(follow_status::failed);
    ASSERT_TRUE(calls_again());
    int const calls = watches;
    subject.set_silence_max(milliseconds{60});
    EXPECT_EQ(watches, calls);
    EXPECT_EQ(aborts, 0);
}

// Others took the place of a host whose store was slow for one answer.
TEST_F(follower_case, does_not_report_a_loss_before_a_second_call_has_failed)
{
    subject.set_silence_max(milliseconds{60});
    watch_from_40();
    run_until(
        loop, [] { return false; }, milliseconds{70});
    reply(follow_status::failed);
    ASSERT_NE(answer, nullptr);
    EXPECT_EQ(lost, 0);
    reply(follow_status::failed);
    EXPECT_EQ(lost, 1);
}

TEST_F(follower_case, does_not_take_the_time_until_a_change_for_a_slow_answer)
{
    watch_from_40();
    milliseconds const timeout = watch_timeout;
    run_until(
        loop, [] { return false; }, timeout);
    reply(follow_status::done, 41);
    ASSERT_TRUE(calls_again());
    EXPECT_EQ(watch_timeout, timeout);
}

RC_GTEST_PROP(watch_timing, times_stay_within_the_bound, ())
{
    watch_timing timing;
    milliseconds const bound{*rc::gen::inRange(600, 20'000)};
    timing.set_silence_max(bound);
    for (int const delay : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 3000))) {
        timing.add_answer(milliseconds{delay});
        watch_times const times = timing.next();
        RC_ASSERT(times.wait + times.timeout == bound);
        RC_ASSERT(times.wait >= bound / 3);
        RC_ASSERT(times.timeout > milliseconds{0});
        RC_ASSERT(times.timeout <= watch_timing::max_timeout);
    }
}

TEST(watch_timing, gives_a_slow_store_more_time_to_answer)
{
    constexpr milliseconds bound{2250};
    watch_timing timing;
    timing.set_silence_max(bound);
    EXPECT_EQ(timing.next(), (watch_times{milliseconds{1500}, milliseconds{750}}));
    timing.add_answer(milliseconds{900});
    EXPECT_EQ(timing.next(), (watch_times{milliseconds{750}, milliseconds{1500}}));
    for (int i = 0; i < 10; ++i) {
        timing.add_answer(milliseconds{2});
    }
    EXPECT_EQ(timing.next(), (watch_times{milliseconds{1500}, milliseconds{750}}));
}

TEST_F(follower_case, lists_but_does_not_watch_while_inactive)
{
    subject.start(true);
    reply(follow_status::done, 40);
    EXPECT_FALSE(run_until(
        loop, [this] { return answer != nullptr; }, milliseconds{400}));
    subject.set_active(true);
    EXPECT_EQ(watches, 1);
    subject.set_active(false);
    EXPECT_EQ(aborts, 1);
    subject.set_active(true);
    EXPECT_EQ(watches, 2);
}

TEST_F(follower_case, accepts_stale_objects_only_in_the_first_list_of_a_host_that_does_not_watch)
{
    subject.start(true, read_freshness::may_be_stale);
    EXPECT_EQ(list_freshness, read_freshness::may_be_stale);
    reply(follow_status::done, 40);
    subject.set_active(true);
    reply(follow_status::history_expired);
    EXPECT_EQ(lists, 2);
    EXPECT_EQ(list_freshness, read_freshness::current);
}

TEST_F(follower_case, stops_calling_a_lost_store_once_peers_have_delivered_the_objects)
{
    subject.start(true);
    reply(follow_status::failed);
    subject.delivered_by_peers();
    EXPECT_FALSE(calls_again());
    subject.set_active(true);
    EXPECT_EQ(lists, 2);
}

TEST_F(follower_case, defers_the_list_until_it_is_active)
{
    subject.start(false);
    EXPECT_EQ(lists, 0);
    subject.set_active(true);
    EXPECT_EQ(lists, 1);
    subject.set_active(false);
    subject.set_active(true);
    EXPECT_EQ(lists, 1);
}

constexpr milliseconds pull_delay{600};
constexpr milliseconds tick{250};

// CONFIG: changes of targets took the pulls of a zone without the store.
TEST(lag_detector, pulls_a_new_configuration_although_targets_were_just_pulled)
{
    lag_detector lag;
    known_versions const own{generation(1), position(10), position(5)};
    known_versions peer{generation(1), position(12), position(5)};
    mono_time now{seconds{100}};
    EXPECT_TRUE(lag.should_pull(own, peer, milliseconds{0}, now));
    now += tick;
    EXPECT_FALSE(lag.should_pull(own, peer, milliseconds{0}, now));
    peer.config = generation(2);
    EXPECT_TRUE(lag.should_pull(own, peer, milliseconds{0}, now));
    now += tick;
    EXPECT_FALSE(lag.should_pull(own, peer, milliseconds{0}, now)); // its answer may come
}

TEST(lag_detector, pulls_a_change_that_stays_missing)
{
    lag_detector lag;
    known_versions const own{generation(1), position(10), position(5)};
    known_versions const peer{generation(1), position(12), position(5)};
    mono_time now{seconds{100}};
    EXPECT_FALSE(lag.should_pull(own, peer, pull_delay, now)); // a push may still arrive
    EXPECT_TRUE(lag.should_pull(own, peer, pull_delay, now + pull_delay));
    EXPECT_FALSE(
        lag.should_pull(own, peer, pull_delay, now + pull_delay + tick)); // pulled a moment ago
    EXPECT_TRUE(lag.should_pull(own, peer, pull_delay, now + pull_delay + seconds{1}));
}

TEST(lag_detector, does_not_pull_while_each_change_arrives_soon)
{
    lag_detector lag;
    mono_time now{seconds{100}};
    for (std::uint64_t change = 1; change < 100; ++change) {
        known_versions const own{generation(1), position(change), position(1)};
        known_versions const peer{generation(1), position(change + 1), position(1)};
        EXPECT_FALSE(lag.should_pull(own, peer, pull_delay, now)) << change;
        now += tick;
    }
}

TEST(lag_detector, pulls_at_once_without_a_delay)
{
    lag_detector lag;
    known_versions const peer{generation(3), position(0), position(0)};
    EXPECT_TRUE(lag.should_pull({}, peer, milliseconds{0}, mono_time{seconds{100}}));
}

} // namespace
} // namespace cove
