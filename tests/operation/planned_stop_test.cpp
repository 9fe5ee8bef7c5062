#include "support/small_cluster.h"

#include <gtest/gtest.h>

namespace {

using namespace cove_test;

/** Results of all requests while every host in turn is stopped and replaced. */
struct stop_result {
    int not_done = 0;
    int unanswered = 0;
    int doubled = 0;
    std::size_t stops = 0;
};

/**
 * Stops and replaces every host in turn. Callers keep sending requests to a stopping host as long
 * as cached look-up answers may list it.
 */
stop_result replace_all_hosts(disabled_mechanisms const& disabled)
{
    small_cluster cluster(3, 3);
    cluster.disabled = disabled;
    cluster.start();
    std::vector<request_key> keys;
    stop_result out;
    for (char const* name : {"e1", "e2", "e3"}) {
        node_id const stopping{name};
        cluster.post(stopping, stop_requested{});
        for (int step = 0; step < 800; ++step) {
            bool const listed = step < 450; // in cached look-up answers
            for (char const* entry : {"e1", "e2", "e3"}) {
                bool const usable = listed || node_id{entry} != stopping;
                if (step % 15 == 0 && usable && !cluster.dead.contains(node_id{entry})) {
                    keys.push_back(
                        cluster.send_request(node_id{entry}, cluster.new_id(node_id{entry})));
                    keys.push_back(cluster.send_request(node_id{entry}, std::nullopt, "read"));
                }
            }
            cluster.run(tick);
            if (cluster.stopped.contains(stopping)) {
                cluster.dead.insert(stopping);
            }
        }
        out.stops += cluster.stopped.count(stopping);
        cluster.stopped.erase(stopping);
        cluster.start_node(stopping);
        cluster.run(seconds(2));
    }
    for (request_key const key : keys) {
        auto const found = cluster.answers.find(key);
        out.unanswered += found == cluster.answers.end() ? 1 : 0;
        if (found != cluster.answers.end() && found->second[0].result != outcome::done) {
            ++out.not_done;
            std::cout << "request=" << key << " outcome=" << to_string(found->second[0].result)
                      << " step=" << found->second[0].step << " reason=" << found->second[0].reason
                      << "\n";
        }
    }
    for (auto const& [id, count] : cluster.start_counts) {
        out.doubled += count > 1 ? 1 : 0;
    }
    return out;
}

TEST(planned_stop, replacing_every_host_under_load_fails_no_request)
{
    auto const result = replace_all_hosts({});
    EXPECT_EQ(result.stops, 3U);
    EXPECT_EQ(result.unanswered, 0);
    EXPECT_EQ(result.not_done, 0);
    EXPECT_EQ(result.doubled, 0);
}

TEST(planned_stop, an_immediate_stop_loses_requests)
{
    disabled_mechanisms disabled;
    disabled.graceful_stop = true;
    EXPECT_GT(replace_all_hosts(disabled).unanswered, 0);
}

TEST(planned_stop, a_peer_answers_for_the_stopped_home)
{
    small_cluster cluster(3, 3);
    cluster.start();
    node_id const home{"e1"};
    std::vector<operation_id> ids;
    for (int i = 0; i < 300; ++i) {
        ids.push_back(cluster.new_id(home));
        cluster.send_request(home, ids.back());
        cluster.run(tick);
    }
    cluster.post(home, stop_requested{});
    cluster.run(seconds(9));
    ASSERT_TRUE(cluster.stopped.contains(home));
    cluster.dead.insert(home);
    cluster.run(seconds(3));
    auto const before = cluster.start_counts;
    for (char const* entry : {"e2", "e3"}) {
        for (operation_id const& id : ids) {
            auto const key = cluster.send_request(node_id{entry}, id);
            cluster.run(tick * 3);
            ASSERT_TRUE(cluster.answers.contains(key));
            EXPECT_EQ(cluster.answers.at(key)[0].result, outcome::done);
        }
    }
    EXPECT_EQ(cluster.start_counts, before);
}

} // namespace
