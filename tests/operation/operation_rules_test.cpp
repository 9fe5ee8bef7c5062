#include "core/invariant.h"
#include "support/small_cluster.h"

#include <gtest/gtest.h>

namespace {

using namespace cove_test;

final_answer answer_to(small_cluster const& cluster, request_key key)
{
    auto const found = cluster.answers.find(key);
    if (found == cluster.answers.end() || found->second.size() != 1) {
        ADD_FAILURE() << "request " << key << " has no single answer";
        return {};
    }
    return found->second[0];
}

int total_starts(small_cluster const& cluster)
{
    int total = 0;
    for (auto const& [id, count] : cluster.start_counts) {
        total += count;
    }
    return total;
}

struct id_case {
    char const* name;
    std::function<std::optional<operation_id>(operation_id)> change; ///< of a valid id
    outcome expected;
    char const* reason; ///< text that the reason must contain
};

TEST(operation_rules, ids_that_never_run)
{
    std::vector<id_case> const cases{
        {"none", [](operation_id) { return std::nullopt; }, outcome::not_run, "needs an operation"},
        {"period zero",
         [](operation_id id) {
             id.period.value = 0;
             return std::optional(id);
         },
         outcome::unknown, "expired"},
        {"future period",
         [](operation_id id) {
             ++id.period.value;
             return std::optional(id);
         },
         outcome::not_run, "future period"},
        {"unknown home",
         [](operation_id id) {
             id.home.value = 999;
             return std::optional(id);
         },
         outcome::unknown, "home is gone"},
    };
    for (id_case const& one : cases) {
        small_cluster cluster(2, 1);
        cluster.start();
        auto const id = one.change(cluster.new_id(node_id{"e1"}));
        std::vector<request_key> keys{cluster.send_request(node_id{"e1"}, id)};
        cluster.run(seconds(61)); // the future period is current now
        keys.push_back(cluster.send_request(node_id{"e1"}, id));
        keys.push_back(cluster.send_request(node_id{"e2"}, id));
        cluster.run(seconds(3));
        for (request_key const key : keys) {
            EXPECT_EQ(answer_to(cluster, key).result, one.expected) << one.name;
            EXPECT_NE(answer_to(cluster, key).reason.find(one.reason), std::string::npos)
                << one.name << ": " << answer_to(cluster, key).reason;
        }
        EXPECT_EQ(total_starts(cluster), 0) << one.name;
    }
}

int starts_after_pruning(disabled_mechanisms const& disabled)
{
    small_cluster cluster(1, 1);
    cluster.disabled = disabled;
    cluster.start();
    auto const id = cluster.new_id(node_id{"e1"});
    cluster.send_request(node_id{"e1"}, id);
    cluster.run(period_length * (kept_periods + 3));
    EXPECT_EQ(cluster.nodes.at(node_id{"e1"}).operations.finished.count, 0U);
    cluster.send_request(node_id{"e1"}, id);
    cluster.run(seconds(1));
    return total_starts(cluster);
}

TEST(operation_rules, pruned_ids_do_not_run_again)
{
    EXPECT_EQ(starts_after_pruning({}), 1);
    disabled_mechanisms disabled;
    disabled.period_check = true;
    EXPECT_EQ(starts_after_pruning(disabled), 2)
        << "without the check the operation must run again";
}

TEST(operation_rules, a_full_table_refuses_permanently_and_reopens)
{
    small_cluster cluster(1, 1);
    cluster.start();
    node_id const home{"e1"};
    auto& operations = cluster.nodes.at(home).operations;
    auto const first = cluster.new_id(home);
    cluster.send_request(home, first);
    cluster.run(milliseconds(200));
    operations.table_limit = operations.finished.bytes;
    auto const refused = cluster.new_id(home);
    auto const key = cluster.send_request(home, refused);
    auto const read = cluster.send_request(home, std::nullopt, "read");
    auto const repeat = cluster.send_request(home, first);
    cluster.run(milliseconds(200));
    EXPECT_EQ(answer_to(cluster, key).result, outcome::not_run);
    EXPECT_GT(answer_to(cluster, key).retry_after.count(), 0);
    EXPECT_EQ(answer_to(cluster, repeat).result, outcome::done);
    operations.table_limit = default_table_limit;
    auto const again = cluster.send_request(home, refused);
    cluster.run(period_length + seconds(1));
    auto const fresh = cluster.send_request(home, cluster.new_id(home));
    cluster.run(seconds(1));
    EXPECT_EQ(answer_to(cluster, again).result, outcome::not_run) << "a refused id stays refused";
    EXPECT_EQ(answer_to(cluster, fresh).result, outcome::done);
    EXPECT_EQ(answer_to(cluster, read).result, outcome::done)
        << "idempotent requests need no room in the table";
}

TEST(operation_rules, an_id_names_one_request)
{
    small_cluster cluster(2, 1);
    cluster.start();
    auto const id = cluster.new_id(node_id{"e1"});
    cluster.send_request(node_id{"e1"}, id);
    cluster.run(milliseconds(200));
    caller_request other{
        900, id, service_id{"s"}, class_id{"write"}, seconds(1), make_payload("another")};
    for (char const* entry : {"e1", "e2"}) {
        ++other.key;
        cluster.post(node_id{entry}, other);
        cluster.run(milliseconds(200));
        EXPECT_EQ(answer_to(cluster, other.key).result, outcome::not_run);
    }
    EXPECT_EQ(total_starts(cluster), 1);
}

TEST(operation_rules, requests_on_two_hosts_share_one_run)
{
    for (int gap = 0; gap <= 200; gap += 10) {
        small_cluster cluster(3, 3);
        cluster.start();
        auto const id = cluster.new_id(node_id{"e1"});
        auto const one = cluster.send_request(node_id{"e2"}, id);
        cluster.run(milliseconds(gap));
        auto const two = cluster.send_request(node_id{"e3"}, id);
        cluster.run(seconds(2));
        EXPECT_EQ(answer_to(cluster, one).result, outcome::done);
        EXPECT_EQ(answer_to(cluster, two).result, outcome::done);
        EXPECT_EQ(total_starts(cluster), 1) << "gap " << gap;
    }
}

TEST(operation_rules, idempotent_requests_retry_within_the_budget)
{
    small_cluster cluster(3, 9);
    cluster.start();
    cluster.target = [](call_target const& call) {
        return call_result{call.key, call_verdict::broken, 0, nullptr, "reset"};
    };
    constexpr int requests = 200;
    for (int i = 0; i < requests; ++i) {
        cluster.send_request(node_id{"e1"}, std::nullopt, "read");
        cluster.run(tick);
    }
    cluster.run(seconds(3));
    EXPECT_GT(total_starts(cluster), requests);
    EXPECT_LT(total_starts(cluster), requests * 1.2);
    EXPECT_EQ(cluster.answers.size(), static_cast<std::size_t>(requests));
}

TEST(operation_rules, a_cancelled_read_ends_its_call)
{
    small_cluster cluster(1, 1);
    cluster.start();
    auto& node = cluster.nodes.at(node_id{"e1"});
    cluster.targets_hang = true;
    auto const key = cluster.send_request(node_id{"e1"}, std::nullopt, "read");
    auto const effects = reduce(node, {cluster.now, caller_cancel{key}});
    EXPECT_TRUE(std::ranges::any_of(effects, [](node_effect const& effect) {
        return std::holds_alternative<cancel_call>(effect);
    }));
    EXPECT_TRUE(node.operations.running.empty());
}

TEST(operation_rules, deadlines_are_answered_at_once)
{
    small_cluster cluster(2, 1);
    cluster.start();
    cluster.targets_hang = true;
    auto const key = cluster.send_request(node_id{"e1"}, cluster.new_id(node_id{"e1"}), "write",
                                          milliseconds(300));
    cluster.run(milliseconds(290));
    EXPECT_FALSE(cluster.answers.contains(key));
    cluster.run(milliseconds(20));
    EXPECT_EQ(answer_to(cluster, key).result, outcome::unknown);
}

TEST(operation_rules, a_joining_request_keeps_its_own_deadline)
{
    struct join_case {
        char const* name;
        node_id first;
        node_id second;
        milliseconds first_timeout;
        milliseconds second_timeout;
    };
    node_id const home{"e1"};
    node_id const relay{"e2"};
    std::vector<join_case> const cases{
        {"longer first at the home", home, home, milliseconds(900), milliseconds(300)},
        {"longer first at the relay", relay, relay, milliseconds(900), milliseconds(300)},
        {"shorter first at the relay", relay, relay, milliseconds(300), milliseconds(900)},
    };
    for (join_case const& one : cases) {
        small_cluster cluster(2, 1);
        cluster.start();
        cluster.targets_hang = true;
        auto const id = cluster.new_id(home);
        auto const first = cluster.send_request(one.first, id, "write", one.first_timeout);
        auto const second = cluster.send_request(one.second, id, "write", one.second_timeout);
        auto const shorter = one.first_timeout < one.second_timeout ? first : second;
        cluster.run(milliseconds(330));
        EXPECT_EQ(answer_to(cluster, shorter).result, outcome::unknown) << one.name;
        cluster.run(milliseconds(600));
        EXPECT_EQ(cluster.answers.size(), 2U) << one.name;
        EXPECT_EQ(total_starts(cluster), 1) << one.name;
    }
}

TEST(operation_rules, waits_for_an_undiscovered_home)
{
    small_cluster cluster(2, 1);
    cluster.start();
    node_id const home{"e2"};
    cluster.cut.insert(node_id{"e1"});
    cluster.start_node(home);
    auto const key = cluster.send_request(node_id{"e1"}, cluster.new_id(home), "write", seconds(2));
    cluster.run(milliseconds(100));
    EXPECT_FALSE(cluster.answers.contains(key));
    cluster.cut.clear();
    cluster.run(milliseconds(1900));
    EXPECT_EQ(answer_to(cluster, key).result, outcome::done);
}

} // namespace
