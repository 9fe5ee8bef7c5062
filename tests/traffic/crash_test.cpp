/** @file Requests under which targets end: records, quarantine and blocking. */

#include "traffic_fixture.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cove {
namespace {

constexpr milliseconds retention{60'000};
constexpr mono_time start{seconds{100}};

target_end end_of(std::string const& target, std::int64_t incarnation = 1)
{
    return {target_id(target), target_incarnation(incarnation), node_id("h0"), false};
}

TEST(crash_table, blocks_a_request_after_three_ends_of_different_incarnations)
{
    crash_table table(retention);
    request_fingerprint const fatal(1);
    table.note_end(fatal, end_of("t0"), start);
    table.note_end(fatal, end_of("t0"), start);
    table.note_end(fatal, end_of("t0", 2), start);
    EXPECT_TRUE(table.suspected(fatal, start));
    EXPECT_FALSE(table.blocked(fatal, start));
    table.note_end(fatal, end_of("t1"), start);
    EXPECT_TRUE(table.blocked(fatal, start));
    EXPECT_EQ(table.take_blocked(start).size(), 1U);
    EXPECT_TRUE(table.take_blocked(start).empty());
    EXPECT_FALSE(table.blocked(request_fingerprint(2), start));
}

TEST(crash_table, forgets_a_request_after_the_retention)
{
    crash_table table(retention);
    request_fingerprint const fatal(1);
    for (std::string const& target : {"t0", "t1", "t2"}) {
        table.note_end(fatal, end_of(target), start);
    }
    EXPECT_TRUE(table.blocked(fatal, start + retention - milliseconds{1}));
    EXPECT_FALSE(table.blocked(fatal, start + retention));
    table.set_retention(milliseconds{0}, start);
    EXPECT_EQ(table.size(), 0U);
}

TEST(crash_table, acquits_a_completed_request_of_the_ends_before)
{
    crash_table table(retention);
    request_fingerprint const request(1);
    table.note_end(request, end_of("t0"), start);
    table.note_end(request, end_of("t1"), start);
    table.note_completed(request, start);
    EXPECT_FALSE(table.suspected(request, start));
    table.note_end(request, end_of("t2"), start + seconds{1}); // soon after a completion
    EXPECT_FALSE(table.suspected(request, start));
    table.note_end(request, end_of("t3"), start + seconds{10});
    EXPECT_TRUE(table.suspected(request, start + seconds{10}));
    EXPECT_FALSE(table.blocked(request, start + seconds{10}));
}

TEST(crash_table, keeps_a_bounded_number_of_records_with_the_worst_among_them)
{
    crash_table table(retention);
    request_fingerprint const fatal(1);
    for (std::string const& target : {"t0", "t1", "t2"}) {
        table.note_end(fatal, end_of(target), start);
    }
    constexpr std::uint64_t many = 5000;
    for (std::uint64_t i = 2; i < many; ++i) {
        table.note_end(request_fingerprint(i), end_of("t0"), start + milliseconds(i));
    }
    EXPECT_LT(table.size(), many / 2);
    EXPECT_TRUE(table.blocked(fatal, start));
    EXPECT_EQ(table.worst(1, start).at(0).fingerprint, fatal);
}

RC_GTEST_PROP(crash_table, reports_merge_in_any_order_and_number, ())
{
    // Two hosts see ends and completions, and exchange reports that are lost, repeated or late.
    std::vector<crash_table> tables(2, crash_table(retention));
    std::vector<crash_record> sent;
    auto const steps = *rc::gen::container<std::vector<int>>(30, rc::gen::inRange(0, 100));
    request_fingerprint const request(1);
    for (int const step : steps) {
        crash_table& table = tables[static_cast<std::size_t>(step % 2)];
        if (step < 30) {
            table.note_end(request, end_of("t" + std::to_string(step / 6)), start);
        }
        else if (step < 35) {
            table.note_completed(request, start);
        }
        else if (!sent.empty()) {
            table.merge({sent[static_cast<std::size_t>(step) % sent.size()]}, start);
        }
        auto const changes = table.take_changes(start);
        sent.insert(sent.end(), changes.begin(), changes.end());
    }
    auto reversed = sent;
    std::reverse(reversed.begin(), reversed.end());
    tables[0].merge(sent, start);
    tables[1].merge(reversed, start);
    RC_ASSERT(tables[0].blocked(request, start) == tables[1].blocked(request, start));
    RC_ASSERT(tables[0].suspected(request, start) == tables[1].suspected(request, start));
}

/** A reducer that remembers ended targets. */
class crash_case : public traffic_fixture, public testing::Test {
protected:
    crash_case() { feed(crash_retention_changed{retention}); }

    request_id arrive_as(std::uint64_t fingerprint, std::string const& object = "")
    {
        request_id const id(next++);
        feed(request_arrived{id, std::make_shared<route_config const>(route), desk,
                             object_key(object), "c", deadline, request_fingerprint(fingerprint)});
        return id;
    }

    /** The target ends while it runs the request. */
    traffic_effects const& crash(request_id id, target_id const& target)
    {
        attempt_ended event = ended(id, target, attempt_end::broken);
        event.target_ended = true;
        return feed(event);
    }

    std::optional<send_attempt> sent() const
    {
        auto const found = of_kind<send_attempt>(effects);
        return found.empty() ? std::nullopt : std::optional(found.back());
    }
};

TEST_F(crash_case, a_request_that_may_not_run_twice_is_blocked_after_three_targets)
{
    route.idempotent = false;
    list(6);
    for (int i = 0; i < 3; ++i) {
        request_id const id = arrive_as(7);
        ASSERT_TRUE(sent());
        crash(id, sent()->attempt.target);
        ASSERT_EQ(of_kind<answer_locally>(effects).size(), 1U);
        EXPECT_EQ(of_kind<report_crashes>(effects).size(), 1U);
    }
    arrive_as(7);
    ASSERT_TRUE(single<answer_locally>());
    EXPECT_EQ(single<answer_locally>()->reason, refusal::blocked);
    EXPECT_FALSE(sent());
    arrive_as(8);
    EXPECT_TRUE(sent());
}

TEST_F(crash_case, a_lost_connection_to_a_living_target_counts_for_nothing)
{
    list(6);
    for (int i = 0; i < 5; ++i) {
        request_id const id = arrive_as(7);
        ASSERT_TRUE(sent());
        end(id, sent()->attempt.target, attempt_end::broken);
        EXPECT_TRUE(of_kind<report_crashes>(effects).empty());
    }
}

TEST_F(crash_case, requests_beside_a_fatal_one_are_retried_at_other_targets_than_it)
{
    list(6, 4);
    request_id const fatal = arrive_as(7, "object");
    target_id const first = sent()->attempt.target;
    request_id const beside = arrive_as(8, "object");
    ASSERT_EQ(sent()->attempt.target, first);
    crash(fatal, first);
    ASSERT_TRUE(sent());
    target_id const second = sent()->attempt.target;
    crash(beside, first);
    ASSERT_TRUE(sent());
    EXPECT_NE(sent()->attempt.target, second);
    end(beside, sent()->attempt.target, attempt_end::succeeded);
    auto const reports = of_kind<report_crashes>(effects);
    ASSERT_EQ(reports.size(), 1U);
    EXPECT_TRUE(reports[0].records.at(0).ends.at(0).acquitted);
}

TEST_F(crash_case, a_queued_copy_is_refused_when_another_host_reports_the_third_end)
{
    list(1, 1);
    arrive_as(8);
    ASSERT_TRUE(sent());
    arrive_as(7);
    EXPECT_FALSE(sent());
    crash_record const report{
        request_fingerprint(7), {end_of("x0"), end_of("x1"), end_of("x2")}, milliseconds{10}};
    feed(crashes_reported{{report}});
    EXPECT_EQ(of_kind<log_blocked_request>(effects).size(), 1U);
    auto const refused = of_kind<answer_locally>(effects);
    ASSERT_EQ(refused.size(), 1U);
    EXPECT_EQ(refused[0].reason, refusal::blocked);
}

TEST_F(crash_case, a_copy_that_gets_no_connection_is_not_sent_once_the_request_is_blocked)
{
    list(6);
    request_id const id = arrive_as(7);
    ASSERT_TRUE(sent());
    target_id const target = sent()->attempt.target;
    crash_record const report{
        request_fingerprint(7), {end_of("x0"), end_of("x1"), end_of("x2")}, milliseconds{10}};
    feed(crashes_reported{{report}});
    end(id, target, attempt_end::not_connected);
    EXPECT_FALSE(sent());
    ASSERT_EQ(of_kind<answer_locally>(effects).size(), 1U);
    EXPECT_EQ(of_kind<answer_locally>(effects)[0].reason, refusal::blocked);
}

TEST_F(crash_case, a_late_copy_is_not_sent_to_another_target_once_the_request_is_blocked)
{
    list(6);
    arrive_as(7);
    ASSERT_TRUE(sent());
    crash_record const report{
        request_fingerprint(7), {end_of("x0"), end_of("x1"), end_of("x2")}, milliseconds{10}};
    feed(crashes_reported{{report}});
    advance_effects.clear();
    advance(deadline);
    EXPECT_TRUE(of_kind<send_attempt>(advance_effects).empty());
}

TEST_F(crash_case, a_running_copy_that_is_completed_lifts_the_block)
{
    list(6);
    request_id const running = arrive_as(7);
    ASSERT_TRUE(sent());
    target_id const target = sent()->attempt.target;
    crash_record const report{
        request_fingerprint(7), {end_of("x0"), end_of("x1"), end_of("x2")}, milliseconds{10}};
    feed(crashes_reported{{report}});
    end(running, target, attempt_end::succeeded);
    EXPECT_EQ(of_kind<report_crashes>(effects).size(), 1U);
    arrive_as(7);
    EXPECT_TRUE(sent());
}

TEST_F(crash_case, a_rack_that_fails_blocks_no_request_that_many_clients_send_alike)
{
    list(6, 2);
    request_id const completed = arrive_as(7);
    ASSERT_TRUE(sent());
    end(completed, sent()->attempt.target, attempt_end::succeeded);
    std::map<request_id, target_id> running;
    for (int i = 0; i < 9; ++i) {
        request_id const id = arrive_as(7, std::to_string(i));
        if (sent()) {
            running[id] = sent()->attempt.target;
        }
    }
    EXPECT_GE(running.size(), 3U);
    for (auto const& [id, target] : running) {
        crash(id, target);
        EXPECT_TRUE(of_kind<log_blocked_request>(effects).empty());
        EXPECT_TRUE(of_kind<report_crashes>(effects).empty());
    }
}

TEST_F(crash_case, the_end_of_a_whole_zone_blocks_no_request)
{
    list(12, 8);
    std::map<request_id, target_id> running;
    for (std::uint64_t i = 0; i < 60; ++i) {
        request_id const id = arrive_as(100 + i);
        if (sent()) {
            running[id] = sent()->attempt.target;
        }
    }
    for (auto const& [id, target] : running) {
        crash(id, target);
        EXPECT_TRUE(of_kind<log_blocked_request>(effects).empty());
    }
    EXPECT_FALSE(running.empty());
}

} // namespace
} // namespace cove
