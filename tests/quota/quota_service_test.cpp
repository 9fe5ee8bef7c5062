/** @file Guards against rejections of requests within the limit. */

#include "quota/quota_fleet.h"

#include <gtest/gtest.h>

#include <functional>

namespace cove {
namespace {

/** Runs six hosts for a minute of demand after they have found each other. */
class quota_service : public testing::Test {
protected:
    void run(workspace_limit limit, std::vector<double> const& rates,
             std::function<void(milliseconds)> const& disturb = {})
    {
        agreed = limit;
        fleet = std::make_unique<quota_fleet>(7, limit);
        for (char const* const name : {"a1", "a2", "b1", "b2", "c1", "c2"}) {
            fleet->add(name);
        }
        advance(seconds{15}, {});
        auto rate = rates.begin();
        for (auto& [name, host] : fleet->hosts) {
            host->rate = *rate++;
        }
        advance(seconds{60}, disturb);
    }

    void advance(milliseconds time, std::function<void(milliseconds)> const& disturb)
    {
        for (milliseconds done{0}; done < time; done += quota_fleet::step_time) {
            if (disturb) {
                disturb(done);
            }
            fleet->step();
            most = std::max(most, fleet->window_share());
            double offered = 0;
            for (auto const& [name, host] : fleet->hosts) {
                offered += host->paused ? 0 : host->rate;
            }
            due += std::min(offered, agreed.rate) * 0.01;
        }
    }

    void expect_served(double share)
    {
        RecordProperty("served", std::to_string(static_cast<double>(fleet->admitted) / due));
        RecordProperty("largest_window", std::to_string(most));
        EXPECT_GE(static_cast<double>(fleet->admitted), share * due);
        EXPECT_LE(most, 1);
    }

    workspace_limit agreed;
    std::unique_ptr<quota_fleet> fleet;
    double due = 0;  ///< requests within the rate
    double most = 0; ///< requests in a window, as a share of the bound
};

TEST_F(quota_service, twice_the_rate_over_all_hosts)
{
    run({60, 30}, std::vector<double>(6, 20));
    expect_served(0.9);
}

TEST_F(quota_service, all_of_it_at_one_host)
{
    run({60, 30}, {0, 0, 120, 0, 0, 0});
    expect_served(0.9);
}

TEST_F(quota_service, three_a_second_over_six_hosts)
{
    run({3, 3}, std::vector<double>(6, 1));
    expect_served(0.9);
}

TEST_F(quota_service, half_of_the_rate)
{
    run({60, 30}, std::vector<double>(6, 5));
    expect_served(0.98);
}

TEST_F(quota_service, hosts_paused_and_killed_in_succession)
{
    run({60, 30}, std::vector<double>(6, 20), [this](milliseconds done) {
        if (done == seconds{10}) {
            fleet->hosts.at("b1")->paused = true;
        }
        if (done == seconds{18}) {
            fleet->resume("b1");
        }
        if (done == seconds{30}) {
            fleet->kill("c2");
        }
        if (done == seconds{32}) {
            fleet->add("c2");
            fleet->hosts.at("c2")->rate = 20;
        }
    });
    expect_served(0.9);
}

TEST_F(quota_service, limits_lowered_and_raised)
{
    run({60, 30}, std::vector<double>(6, 20), [this](milliseconds done) {
        if (done == seconds{20} || done == seconds{40}) {
            agreed.rate = done == seconds{20} ? 30 : 60;
            fleet->set_limit(agreed);
            for (auto const& [name, host] : fleet->hosts) {
                fleet->configure(name);
            }
        }
    });
    expect_served(0.9);
}

} // namespace
} // namespace cove
