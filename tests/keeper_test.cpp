#include "core/invariant.h"
#include "support/small_cluster.h"

#include <gtest/gtest.h>

namespace {

using namespace cove_test;

/** A cluster with one entry host, which is the keeper of all targets of one service. */
class one_keeper : public small_cluster {
public:
    explicit one_keeper(int target_count, int slots = 4) : small_cluster(1, target_count)
    {
        config.services[0].slots = slots;
        start();
    }

    node_state& node() { return nodes.at(node_id{"e1"}); }
    kept_target& state_of(char const* target)
    {
        return node().keeper.targets.at(target_id{target});
    }

    request_key write() { return send_request(node_id{"e1"}, new_id(node_id{"e1"})); }
    request_key read() { return send_request(node_id{"e1"}, std::nullopt, "read"); }

    void report(char const* target, bool healthy, bool leaving, int limit)
    {
        post(node_id{"e1"}, target_report{target_id{target}, healthy, leaving, 0, limit});
    }

    int in_flight() const
    {
        int total = 0;
        for (auto const& [id, target] : nodes.at(node_id{"e1"}).keeper.targets) {
            total += target.in_flight;
        }
        return total;
    }

    int count(outcome what, std::vector<request_key> const& keys) const
    {
        return static_cast<int>(std::ranges::count_if(keys, [&](request_key key) {
            return answers.contains(key) && answers.at(key)[0].result == what;
        }));
    }
};

TEST(keeper, never_exceeds_the_slots)
{
    for (int const slots : {1, 2, 4, 7}) {
        one_keeper cluster(3, slots);
        cluster.run(seconds(2));
        for (int i = 0; i < 100; ++i) {
            cluster.write();
        }
        int most = 0;
        for (int i = 0; i < 100; ++i) {
            cluster.run(tick);
            most = std::max(most, cluster.in_flight());
        }
        EXPECT_EQ(most, 3 * slots);
    }
}

TEST(keeper, slots_are_exceeded_without_the_limits)
{
    one_keeper cluster(1, 1);
    cluster.node().disabled.slot_limits = true;
    cluster.write();
    EXPECT_THROW(cluster.write(), invariant_violation);
}

TEST(keeper, a_new_keeper_starts_with_part_of_the_slots)
{
    one_keeper cluster(1, 4);
    cluster.config.services[0].classes[0].deadline = seconds(5);
    cluster.post(node_id{"e1"},
                 config_changed{generation{2}, std::make_shared<deployment>(cluster.config)});
    for (int i = 0; i < 10; ++i) {
        cluster.write();
    }
    EXPECT_EQ(cluster.in_flight(), 2);
    cluster.run(seconds(5));
    for (int i = 0; i < 10; ++i) {
        cluster.write();
    }
    cluster.run(milliseconds(40));
    EXPECT_EQ(cluster.in_flight(), 4);
}

TEST(keeper, a_wait_beyond_the_deadline_is_refused_at_once_with_a_spread_retry_after)
{
    one_keeper cluster(1, 1);
    cluster.run(seconds(2));
    cluster.write();
    cluster.run(milliseconds(100)); // so that the keeper measures the call time
    std::vector<request_key> keys;
    for (int i = 0; i < 100; ++i) {
        keys.push_back(cluster.write());
    }
    int const refused = cluster.count(outcome::not_run, keys);
    EXPECT_GT(refused, 70);
    EXPECT_LT(refused, 90);
    std::set<microseconds> retry_afters;
    for (request_key const key : keys) {
        if (cluster.answers.contains(key)) {
            retry_afters.insert(cluster.answers.at(key)[0].retry_after);
        }
    }
    EXPECT_GT(retry_afters.size(), static_cast<std::size_t>(refused) * 9 / 10);
    EXPECT_GT(*retry_afters.rbegin() - *retry_afters.begin(), milliseconds(400));
    cluster.run(seconds(2));
    EXPECT_EQ(cluster.count(outcome::done, keys), 100 - refused)
        << "accepted requests must be answered";
}

struct leaving_case {
    char const* name;
    std::function<void(one_keeper&)> leave; ///< makes t1 leave
};

int starts_at_leaving_target(leaving_case const& one, disabled_mechanisms const& disabled)
{
    one_keeper cluster(2);
    cluster.node().disabled = disabled;
    for (int i = 0; i < 12; ++i) {
        cluster.write();
    }
    one.leave(cluster);
    int const before = cluster.target_start_counts[target_id{"t1"}];
    for (int i = 0; i < 12; ++i) {
        cluster.write();
        cluster.run(tick);
    }
    cluster.run(seconds(1));
    for (auto const& [key, answers] : cluster.answers) {
        EXPECT_EQ(answers[0].result, outcome::done) << one.name;
    }
    return cluster.target_start_counts[target_id{"t1"}] - before;
}

TEST(keeper, a_leaving_target_gets_nothing_new)
{
    std::vector<leaving_case> const cases{
        {"host list",
         [](one_keeper& cluster) {
             cluster.hosts.targets[0].state = host_state::leaving;
             cluster.change_hosts();
         }},
        {"target report", [](one_keeper& cluster) { cluster.report("t1", true, true, 0); }},
    };
    disabled_mechanisms disabled;
    disabled.leaving_targets = true;
    for (leaving_case const& one : cases) {
        EXPECT_EQ(starts_at_leaving_target(one, {}), 0) << one.name;
        EXPECT_GT(starts_at_leaving_target(one, disabled), 0)
            << one.name << ": must get calls when the mechanism is disabled";
    }
}

TEST(keeper, reports_only_lower_the_limit_and_never_to_zero)
{
    struct report_case {
        bool healthy;
        int limit;
        int expected;
    };
    for (auto const& one :
         {report_case{true, 0, 4}, report_case{true, 2, 2}, report_case{true, 50, 4},
          report_case{false, 0, 1}, report_case{false, 3, 1}}) {
        one_keeper cluster(1, 4);
        cluster.run(seconds(2));
        cluster.report("t1", one.healthy, false, one.limit);
        auto const& service = cluster.config.services[0];
        EXPECT_EQ(working_limit(cluster.state_of("t1"), service, cluster.now.mono), one.expected);
        cluster.run(seconds(4));
        EXPECT_EQ(working_limit(cluster.state_of("t1"), service, cluster.now.mono), 4)
            << "an expired report must be ignored";
    }
}

TEST(keeper, observed_calls_move_the_limit_below_the_slots)
{
    struct limit_case {
        call_verdict verdict;
        milliseconds latency;
        int least;
        int most;
    };
    service_config service;
    service.slots = 8;
    service.connections = 100;
    for (auto const& one : {limit_case{call_verdict::answered, milliseconds(10), 8, 8},
                            limit_case{call_verdict::answered, milliseconds(100), 4, 6},
                            limit_case{call_verdict::not_started, milliseconds(1), 1, 1},
                            limit_case{call_verdict::broken, milliseconds(1), 1, 1}}) {
        kept_target target;
        mono_time now{};
        class_id const any{"c"};
        for (int i = 0; i < 100; ++i) {
            observe_call(target, service, {any, call_verdict::answered, milliseconds(10)}, now);
        }
        EXPECT_EQ(working_limit(target, service, now), 8);
        for (int i = 0; i < 20; ++i) {
            now += seconds(1);
            observe_call(target, service, {any, one.verdict, one.latency}, now);
        }
        now += seconds(1);
        EXPECT_GE(working_limit(target, service, now), one.least);
        EXPECT_LE(working_limit(target, service, now), one.most);
        for (int i = 0; i < 2000; ++i) {
            observe_call(target, service, {any, call_verdict::answered, milliseconds(10)}, now);
        }
        EXPECT_EQ(working_limit(target, service, now), 8) << "recovers";
    }
}

TEST(keeper, higher_priority_starts_first_and_no_class_starves)
{
    one_keeper cluster(1, 1);
    cluster.config.services[0].classes[0].deadline = seconds(60);
    cluster.config.services[0].classes[1].deadline = seconds(60);
    cluster.post(node_id{"e1"},
                 config_changed{generation{2}, std::make_shared<deployment>(cluster.config)});
    std::vector<request_key> reads;
    std::vector<request_key> writes;
    for (int i = 0; i < 40; ++i) {
        reads.push_back(cluster.send_request(node_id{"e1"}, std::nullopt, "read", seconds(60)));
        writes.push_back(cluster.send_request(node_id{"e1"}, cluster.new_id(node_id{"e1"}), "write",
                                              seconds(60)));
    }
    cluster.run(milliseconds(50 * 33));
    EXPECT_GE(cluster.count(outcome::done, writes), 25);
    EXPECT_GE(cluster.count(outcome::done, reads), 3);
}

TEST(keeper, an_event_keeps_its_reserve)
{
    struct event_case {
        seconds from_start; ///< of the event, at the time of the burst
        int expected_reads; ///< running at the same time
    };
    for (auto const& one : {event_case{seconds(-60), 4}, event_case{seconds(-10), 2},
                            event_case{seconds(5), 2}, event_case{seconds(100), 4}}) {
        one_keeper cluster(1, 4);
        cluster.run(seconds(2));
        event_config event;
        event.id = "payout";
        event.service = service_id{"s"};
        event.classes = {class_id{"write"}};
        event.start = cluster.now.wall - one.from_start;
        event.end = event.start + seconds(50);
        event.reserve = 0.5;
        cluster.config.events.push_back(event);
        cluster.post(node_id{"e1"},
                     config_changed{generation{2}, std::make_shared<deployment>(cluster.config)});
        for (int i = 0; i < 8; ++i) {
            cluster.read();
        }
        EXPECT_EQ(cluster.in_flight(), one.expected_reads) << one.from_start.count();
        cluster.write();
        cluster.write();
        EXPECT_EQ(cluster.in_flight(), 4) << "the reserve must be available to the event's class";
    }
}

TEST(keeper, an_overdue_attempt_never_starts)
{
    one_keeper cluster(1, 1);
    cluster.targets_hang = true;
    cluster.write();
    auto const queued = cluster.send_request(node_id{"e1"}, cluster.new_id(node_id{"e1"}), "write",
                                             milliseconds(200));
    ASSERT_EQ(cluster.calls.size(), 1U);
    cluster.now.mono += milliseconds(500); // without a wake-up in between
    cluster.post(node_id{"e1"},
                 call_result{cluster.calls[0].key, call_verdict::answered, 200, nullptr, ""});
    EXPECT_EQ(cluster.calls.size(), 1U);
    EXPECT_EQ(cluster.count(outcome::not_run, {queued}), 1);
}

TEST(keeper, a_shed_call_goes_to_another_target)
{
    one_keeper cluster(2);
    cluster.target = [](call_target const& call) {
        return call_result{call.key,
                           call.target.value == "t1" ? call_verdict::not_started
                                                     : call_verdict::answered,
                           200, call.body, ""};
    };
    std::vector<request_key> keys;
    for (int i = 0; i < 20; ++i) {
        keys.push_back(cluster.write());
        cluster.run(milliseconds(60));
    }
    cluster.run(seconds(1));
    EXPECT_EQ(cluster.count(outcome::done, keys), 20);
    EXPECT_GT(cluster.node().keeper.counters.shed, 0U);
}

TEST(keeper, attempts_are_removed_after_their_periods)
{
    one_keeper cluster(1);
    for (int i = 0; i < 50; ++i) {
        cluster.write();
        cluster.run(milliseconds(60));
    }
    EXPECT_EQ(cluster.node().keeper.attempts.entries.size(), 50U);
    cluster.run(period_length * 5);
    EXPECT_EQ(cluster.node().keeper.attempts.entries.size(), 0U);
    EXPECT_EQ(cluster.node().keeper.attempts.result_bytes, 0U);
}

} // namespace
