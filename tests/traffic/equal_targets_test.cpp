/** @file Requests without affinity at targets that are equally fast. */

#include "traffic_fixture.h"

#include <gtest/gtest.h>

namespace cove {
namespace {

TEST(equal_targets, share_the_requests_without_affinity)
{
    constexpr milliseconds step{20};
    constexpr milliseconds service_time{100};
    traffic_fixture host;
    host.route.sticky = false;
    host.list(2, 8);
    std::map<target_id, int> sent;
    std::vector<std::pair<mono_time, send_attempt>> running;
    auto const start_sent = [&](traffic_effects const& effects) {
        for (send_attempt const& each : traffic_fixture::of_kind<send_attempt>(effects)) {
            ++sent[each.attempt.target];
            running.emplace_back(host.now + service_time, each);
        }
    };
    for (int i = 0; i < 200; ++i) {
        host.now += step;
        auto const due = running;
        running.clear();
        for (auto const& [end, each] : due) {
            if (end <= host.now) {
                start_sent(
                    host.end(each.attempt.id.request, each.attempt.target, attempt_end::succeeded));
            }
            else {
                running.emplace_back(end, each);
            }
        }
        host.arrive();
        start_sent(host.effects);
    }
    EXPECT_GT(sent[target_id("t0")], 50);
    EXPECT_GT(sent[target_id("t1")], 50);
}

} // namespace
} // namespace cove
