#include "node/node.h"

#include <algorithm>
#include <deque>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

using namespace cove;

service_id const service{"s"};
wall_time const wall_start{seconds(1000)};

/** Several nodes that exchange messages in 50 ms steps; a partition drops messages. */
class zone_simulation {
public:
    zone_simulation(std::vector<std::string> const& zones, int hosts, int targets)
    {
        for (std::string const& zone : zones) {
            config_.zones.push_back({zone_id{zone}, region_id{"r"}});
            for (int i = 0; i < hosts; ++i) {
                hosts_.entry_hosts.push_back({node_id{zone + std::to_string(i)}, zone_id{zone}});
            }
            for (int i = 0; i < targets; ++i) {
                hosts_.targets.push_back(
                    {target_id{zone + "t" + std::to_string(i)}, service, zone_id{zone}});
            }
        }
        config_.services.push_back({service, 10, 10, {{class_id{"read"}, true}}});
        hosts_.version = 1;
    }

    void start()
    {
        for (entry_host const& host : hosts_.entry_hosts) {
            nodes_.emplace(host.id, make_node({host.id, host.zone, incarnation_id{7}}, 1));
        }
        set_hosts();
        auto const config = std::make_shared<deployment>(config_);
        for (auto& [id, node] : nodes_) {
            step(id, config_changed{generation{1}, config});
        }
    }

    void set_hosts()
    {
        auto const hosts = std::make_shared<host_list>(hosts_);
        for (auto& [id, node] : nodes_) {
            step(id, host_list_changed{hosts});
        }
    }

    /** Marks all targets of a zone as leaving, or as live again. */
    void set_targets_leaving(std::string const& zone, bool leaving)
    {
        for (target_host& target : hosts_.targets) {
            if (target.zone == zone_id{zone}) {
                target.state = leaving ? host_state::leaving : host_state::live;
            }
        }
        ++hosts_.version;
        set_hosts();
    }

    void run(milliseconds length)
    {
        for (mono_time const end = now_ + length; now_ < end; now_ += milliseconds(50)) {
            auto const arrived = std::exchange(network_, {});
            for (auto const& [to, envelope] : arrived) {
                step(to, envelope);
            }
            for (auto& [id, node] : nodes_) {
                step(id, wake_due{});
            }
        }
    }

    std::optional<zone_choice> choose(std::string const& id)
    {
        node_state& node = nodes_.at(node_id{id});
        node_view const view{clocks(),    node.self,     node.config.get(), node.members,
                             node.random, node.disabled, &node.steering};
        return choose_zone(node.steering, view, service, 100);
    }

    steering_state& steering(std::string const& id) { return nodes_.at(node_id{id}).steering; }
    node_state& node(std::string const& id) { return nodes_.at(node_id{id}); }
    /** Separates the nodes whose ids start with @p prefix from all others. */
    void partition(std::string const& prefix, bool on) { partitioned_prefix_ = on ? prefix : ""; }
    deployment& config() { return config_; }

private:
    instant clocks() const { return {now_, wall_start + (now_ - mono_time(seconds(100)))}; }

    void step(node_id const& id, node_event_body body)
    {
        node_state& node = nodes_.at(id);
        for (node_effect& effect : reduce(node, {clocks(), std::move(body)})) {
            auto* send = std::get_if<send_peer>(&effect);
            if (send != nullptr && nodes_.contains(send->to) && !crosses_partition(id, send->to)) {
                network_.emplace_back(
                    send->to, peer_envelope{id, node.self.incarnation, std::move(send->body)});
            }
        }
    }

    bool crosses_partition(node_id const& a, node_id const& b) const
    {
        bool const from = a.value.starts_with(partitioned_prefix_);
        return !partitioned_prefix_.empty() && from != b.value.starts_with(partitioned_prefix_);
    }

    deployment config_;
    host_list hosts_;
    std::map<node_id, node_state> nodes_;
    std::deque<std::pair<node_id, peer_envelope>> network_;
    mono_time now_{seconds(100)};
    std::string partitioned_prefix_;
};

/** Number of requests by the zone chosen for them. */
struct request_counts {
    int own = 0;
    int other_zone = 0;
    int refused = 0;
};

request_counts send_requests(zone_simulation& run, std::string const& node, int requests)
{
    request_counts out;
    for (int i = 0; i < requests; ++i) {
        auto const choice = run.choose(node);
        if (!choice) {
            ++out.refused;
            continue;
        }
        ++(choice->granted ? out.other_zone : out.own);
        release_zone(run.steering(node), service, *choice);
    }
    return out;
}

TEST(zone_simulation, members_know_the_zones_load_and_a_zone_with_room_serves_its_own)
{
    zone_simulation run({"a", "b"}, 3, 2);
    run.start();
    run.run(seconds(5));
    for (char const* id : {"a0", "a1", "a2"}) {
        ASSERT_EQ(run.steering(id).summary.services.size(), 1U) << id;
        EXPECT_EQ(run.steering(id).summary.services[0].slots, 20) << id;
    }
    EXPECT_EQ(send_requests(run, "a2", 50).own, 50);
}

TEST(zone_simulation, failover_stays_under_the_cap_and_returns_without_exceeding_it)
{
    zone_simulation run({"a", "b"}, 2, 4);
    run.start();
    run.run(seconds(10));
    run.set_targets_leaving("a", true);
    run.run(seconds(3));
    double last = 0;
    for (int i = 0; i < 4; ++i) {
        send_requests(run, "a1", 100);
        run.run(milliseconds(200));
        auto const seen = send_requests(run, "a1", 400);
        double const share = run.steering("a1").services[service].overflow;
        EXPECT_LE(share, 0.1 * (i + 1) + 0.001);
        EXPECT_GE(share, last);
        EXPECT_GT(seen.other_zone, 0);
        EXPECT_LE(seen.other_zone, 400 * share + 60);
        EXPECT_EQ(seen.own, 0);
        EXPECT_EQ(seen.other_zone + seen.refused, 400);
        last = share;
        run.run(seconds(15));
    }
    run.set_targets_leaving("a", false);
    double const before = run.steering("a1").services[service].overflow;
    run.run(seconds(14));
    EXPECT_GE(run.steering("a1").services[service].overflow, before - 0.1 - 0.001);
    EXPECT_EQ(send_requests(run, "a1", 100).own, 100) << "the zone has room again";
    run.run(seconds(90));
    EXPECT_EQ(run.steering("a1").services[service].overflow, 0);
}

TEST(zone_simulation, a_partitioned_zone_gets_nothing_once_its_grants_have_expired)
{
    zone_simulation run({"a", "b"}, 2, 4);
    run.start();
    run.run(seconds(10));
    run.set_targets_leaving("a", true);
    run.run(seconds(3));
    send_requests(run, "a1", 100);
    run.run(milliseconds(200));
    ASSERT_GT(send_requests(run, "a1", 200).other_zone, 0);
    run.partition("b", true);
    run.run(grant_lifetime);
    auto const seen = send_requests(run, "a1", 200);
    EXPECT_EQ(seen.other_zone, 0);
    EXPECT_EQ(seen.refused, 200);
}

TEST(zone_simulation, planned_move_reaches_the_look_up_shares_of_every_member)
{
    zone_simulation run({"a", "b"}, 2, 4);
    run.config().moves = {{move_id{"m"}, service, zone_id{"a"}, zone_id{"b"},
                           wall_start + seconds(20), 0.3, 0.1, seconds(15)}};
    run.start();
    run.run(seconds(19));
    EXPECT_TRUE(lookup_shares(run.steering("a1")).empty());
    run.run(seconds(5));
    for (char const* id : {"a0", "a1"}) {
        auto const shares = run.node(id).published->shares;
        ASSERT_EQ(shares.size(), 1U) << id;
        EXPECT_NEAR(shares[0].share, 0.1, 0.001);
    }
    EXPECT_TRUE(lookup_shares(run.steering("b0")).empty());
}

TEST(zone_simulation, a_move_is_held_while_the_destination_does_not_answer)
{
    zone_simulation run({"a", "b"}, 2, 4);
    run.config().moves = {{move_id{"m"}, service, zone_id{"a"}, zone_id{"b"},
                           wall_start + seconds(20), 1, 0.1, seconds(15)}};
    run.start();
    run.run(seconds(24));
    run.partition("b", true);
    run.run(seconds(60));
    EXPECT_NEAR(lookup_shares(run.steering("a1"))[0].share, 0.1, 0.001);
    run.partition("b", false);
    run.run(seconds(30));
    EXPECT_GT(lookup_shares(run.steering("a1"))[0].share, 0.15);
}

TEST(zone_simulation, snapshots_are_bounded_and_made_by_the_aggregators)
{
    zone_simulation run({"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"}, 5, 1);
    run.start();
    run.run(seconds(4));
    for (char const* id : {"a0", "a1"}) {
        auto const& entries = run.node(id).published->entries;
        EXPECT_EQ(entries.size(), 5U + 6U * 2U) << id;
        EXPECT_EQ(std::ranges::count(entries, zone_id{"a"}, &lookup_entry::zone), 5) << id;
    }
    EXPECT_EQ(run.node("a4").published, nullptr);
}

TEST(zone_simulation, a_new_leader_continues_from_the_shares_in_force)
{
    zone_simulation run({"a", "b"}, 2, 4);
    run.config().moves = {{move_id{"m"}, service, zone_id{"a"}, zone_id{"b"},
                           wall_start + seconds(20), 1, 0.2, seconds(5)}};
    run.start();
    run.run(seconds(40));
    double const before = lookup_shares(run.steering("a1"))[0].share;
    run.partition("a0", true);
    run.run(seconds(10));
    EXPECT_TRUE(run.steering("a1").is_leader);
    EXPECT_NEAR(lookup_shares(run.steering("a1"))[0].share, before, 0.001);
}

} // namespace
