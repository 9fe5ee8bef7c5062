#include "soak/fake_network.h"

#include "membership/dissemination.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

using namespace cove;

constexpr std::size_t zone_size = 4; // hosts 0 to 3 are in zone west, 4 to 7 in zone east
constexpr std::size_t fleet_size = 2 * zone_size;

/** Two zones of nodes that are connected by the fake network. */
struct two_zones {
    explicit two_zones(disabled_mechanisms disabled = {})
        : nodes(time, random, checks, disabled),
          network(time, random, nodes, [](zone_id const& zone) { return region_id{zone.value}; })
    {
        nodes.connect({
            [this](std::size_t host, send_peer const& send) { network.send(host, send); },
            [](std::size_t, call_target const&) {},
            [](std::size_t, call_key) {},
            [](reply const&) {},
            [](std::size_t, bool) {},
            [this](std::size_t, log_line const& line) {
                suspicions += line.event == "member_suspected" ? 1 : 0;
            },
        });
        list.version = 1;
        for (std::size_t i = 0; i < fleet_size; ++i) {
            add_host("e" + std::to_string(i), i < zone_size ? "west" : "east");
            nodes.start(i);
        }
        list.targets.push_back({target_id{"t"}, service_id{"s"}, zone_id{"west"}, "10.9.9.9:1"});
        for (std::size_t i = 0; i < fleet_size; ++i) {
            deliver_list(i);
        }
        run(seconds(10));
    }

    std::size_t add_host(std::string const& name, std::string const& zone)
    {
        std::string const ip = "10.0.0." + std::to_string(list.entry_hosts.size());
        list.entry_hosts.push_back({node_id{name}, zone_id{zone}, ip + ":1", ip + ":2"});
        return nodes.add(list.entry_hosts.back());
    }

    void deliver_list(std::size_t host)
    {
        nodes.deliver(host, nodes.hosts()[host].process_epoch,
                      host_list_changed{std::make_shared<host_list const>(list)});
    }

    void run(microseconds span)
    {
        bool over = false;
        time.after(span, [&] { over = true; });
        while (!over && time.run_next()) {
        }
    }

    membership_state const& view(std::size_t host) { return nodes.hosts()[host].node->members; }

    bool sees(std::size_t viewer, std::size_t subject)
    {
        auto const& members = view(viewer).members;
        auto const found = members.find(nodes.hosts()[subject].host_entry.id);
        return found != members.end() && is_live(found->second, time.now());
    }

    scheduler time;
    random_source random{1};
    audit checks;
    fleet nodes;
    fake_network network;
    host_list list;
    int suspicions = 0;
};

struct fault_case {
    char const* name;
    std::function<void(two_zones&)> fault;
    std::size_t subject;
    bool live_in_own_zone;   ///< whether the subject's zone sees it as live afterwards
    bool live_in_other_zone; ///< whether the other zone does
};

void replace_process(two_zones& world)
{
    world.nodes.kill(1);
    world.run(milliseconds(200));
    world.nodes.start(1);
    world.deliver_list(1);
    world.run(seconds(8));
}

void cut_east_from_west(two_zones& world)
{
    world.network.cut(zone_id{"east"}, zone_id{"west"});
    world.network.cut(zone_id{"west"}, zone_id{"east"});
    world.run(seconds(30));
}

std::vector<fault_case> const fault_table{
    {"kill",
     [](two_zones& w) {
         w.nodes.kill(1);
         w.run(seconds(10));
     },
     1, false, false},
    {"freeze",
     [](two_zones& w) {
         w.nodes.freeze(1);
         w.run(seconds(10));
     },
     1, false, false},
    {"freeze and thaw",
     [](two_zones& w) {
         w.nodes.freeze(1);
         w.run(seconds(10));
         w.nodes.unfreeze(1);
         w.run(seconds(8));
     },
     1, true, true},
    {"restart with the same id", replace_process, 1, true, true},
    {"planned stop while the list says live",
     [](two_zones& w) {
         w.nodes.freeze(1); // the process keeps running; only its own update announces the stop
         w.nodes.unfreeze(1);
         w.nodes.stop(1);
         w.run(seconds(8));
     },
     1, false, false},
    {"cut between zones", cut_east_from_west, 1, true, false},
    {"cut between zones, healed",
     [](two_zones& w) {
         cut_east_from_west(w);
         w.network.heal();
         w.run(seconds(8));
     },
     1, true, true},
    {"one-way cut between zones",
     [](two_zones& w) {
         w.network.cut(zone_id{"west"}, zone_id{"east"});
         w.run(seconds(30));
     },
     1, true, false},
    {"list that says leaving, known to one member",
     [](two_zones& w) {
         ++w.list.version;
         w.list.entry_hosts[1].state = host_state::leaving;
         w.deliver_list(0);
         w.run(seconds(3));
     },
     1, false, true},
    {"an older list arrives late",
     [](two_zones& w) {
         host_list const old = w.list;
         ++w.list.version;
         w.list.entry_hosts[1].state = host_state::leaving;
         for (std::size_t i = 0; i < fleet_size; ++i) {
             w.deliver_list(i);
         }
         w.list = old;
         for (std::size_t i = 0; i < fleet_size; ++i) {
             w.deliver_list(i);
         }
     },
     1, false, false},
};

TEST(membership, faults)
{
    for (fault_case const& row : fault_table) {
        two_zones world;
        row.fault(world);
        for (std::size_t viewer = 0; viewer < fleet_size; ++viewer) {
            if (viewer != row.subject) {
                EXPECT_EQ(world.sees(viewer, row.subject),
                          viewer < zone_size ? row.live_in_own_zone : row.live_in_other_zone)
                    << row.name << " as seen by " << viewer;
            }
        }
        EXPECT_TRUE(world.sees(0, 2)) << row.name;
    }
}

TEST(membership, path_cut_between_two_members_makes_nobody_suspect)
{
    two_zones world;
    world.network.cut_pair(0, 1);
    world.run(seconds(20));
    EXPECT_EQ(world.suspicions, 0);

    disabled_mechanisms direct_only;
    direct_only.indirect_probes = true;
    two_zones without(direct_only);
    without.network.cut_pair(0, 1);
    without.run(seconds(20));
    EXPECT_GT(without.suspicions, 0);
}

TEST(membership, unfrozen_member_stays_dead_without_refutation)
{
    disabled_mechanisms disabled;
    disabled.refutation = true;
    two_zones world(disabled);
    world.nodes.freeze(1);
    world.run(seconds(10));
    world.nodes.unfreeze(1);
    world.run(seconds(8));
    EXPECT_FALSE(world.sees(0, 1));
}

TEST(membership, leaving_target_is_known_to_the_zone_within_three_seconds)
{
    for (bool const spread : {true, false}) {
        disabled_mechanisms disabled;
        disabled.leaving_dissemination = !spread;
        two_zones world(disabled);
        ++world.list.version;
        world.list.targets[0].state = host_state::leaving;
        world.deliver_list(2);
        world.run(seconds(3));
        for (std::size_t viewer : {0, 1, 3}) {
            bool const leaving =
                world.view(viewer).targets.at(target_id{"t"}).state == host_state::leaving;
            EXPECT_EQ(leaving, spread) << viewer;
        }
    }
}

TEST(membership, incarnation_replaced_by_a_later_one_has_ended)
{
    two_zones world;
    incarnation_id const old = world.nodes.hosts()[1].node->self.incarnation;
    EXPECT_FALSE(incarnation_ended(world.view(0), old));
    EXPECT_EQ(find_incarnation(world.view(0), old), node_id{"e1"});
    replace_process(world);
    EXPECT_TRUE(incarnation_ended(world.view(0), old));
    EXPECT_TRUE(incarnation_ended(world.view(5), old));
    EXPECT_EQ(find_incarnation(world.view(0), old), std::nullopt);
    EXPECT_FALSE(incarnation_ended(world.view(0), world.nodes.hosts()[1].node->self.incarnation));
}

TEST(membership, all_hosts_of_a_zone_are_replaced)
{
    two_zones world;
    world.list.entry_hosts.resize(zone_size);
    world.list.version = 2;
    std::vector<std::size_t> fresh;
    for (std::size_t i = 0; i < zone_size; ++i) {
        fresh.push_back(world.add_host("f" + std::to_string(i), "east"));
        world.nodes.kill(zone_size + i);
    }
    for (std::size_t const host : fresh) {
        world.nodes.start(host);
        world.deliver_list(host);
    }
    world.run(seconds(8)); // zone west does not have the list yet
    for (std::size_t const host : fresh) {
        EXPECT_TRUE(world.sees(fresh[0], host));
        EXPECT_FALSE(world.sees(0, host));
        EXPECT_TRUE(world.sees(host, 0));
    }
    for (std::size_t i = 0; i < zone_size; ++i) {
        world.deliver_list(i);
    }
    world.run(seconds(8));
    for (std::size_t const host : fresh) {
        EXPECT_TRUE(world.sees(0, host));
    }
}

/** @return the part of a membership view that other subsystems act on, as text. */
std::string summary(membership_state const& state)
{
    std::string out;
    for (auto const& [id, peer] : state.members) {
        out += id.value + " " + std::to_string(peer.incarnation.value) + " " +
               std::to_string(peer.sequence) + " " + std::to_string(int(peer.health)) + " " +
               std::to_string(is_live(peer, {})) + "\n";
    }
    for (int i = 0; i < 3; ++i) {
        auto const target = state.targets.find(target_id{"t" + std::to_string(i)});
        out += target == state.targets.end() ? "-" : std::to_string(int(target->second.state));
    }
    for (std::uint64_t i = 1; i < 9; ++i) {
        out += std::to_string(incarnation_ended(state, incarnation_id{i}));
    }
    return out;
}

using any_update = std::variant<member_update, leaving_update, host_list>;

any_update random_update()
{
    auto const small = [](int limit) { return std::uint64_t(*rc::gen::inRange(0, limit)); };
    std::uint64_t const kind = small(3);
    if (kind == 0) {
        std::uint64_t const node = small(4);
        std::uint64_t const incarnation_number = small(2);
        member_update update;
        update.node = node_id{"e" + std::to_string(node)};
        update.zone = zone_id{"z"};
        update.epoch = 1 + incarnation_number;
        update.incarnation = incarnation_id{1 + node * 2 + incarnation_number};
        update.sequence = small(3);
        update.leaving = update.sequence == 2;
        update.health = member_health(small(3));
        return update;
    }
    if (kind == 1) {
        bool const target = small(2) == 0;
        bool const own = target && small(2) == 0;
        return leaving_update{(target ? "t" : "e") + std::to_string(small(3)), target, own,
                              !own || small(2) == 0, 1 + small(4)};
    }
    host_list list;
    list.version = 1 + small(4);
    for (std::uint64_t i = 0; i < 3; ++i) { // the content depends on the version only
        auto const state = list.version > i + 1 ? host_state::leaving : host_state::live;
        list.entry_hosts.push_back({node_id{"e" + std::to_string(i)}, zone_id{"z"}, "", "", state});
        list.targets.push_back(
            {target_id{"t" + std::to_string(i)}, service_id{"s"}, zone_id{"z"}, "", state});
    }
    return list;
}

void apply(membership_state& state, any_update const& update)
{
    if (auto const* member = std::get_if<member_update>(&update)) {
        apply_member_update(state, *member, mono_time(seconds(1)));
    }
    else if (auto const* leaving = std::get_if<leaving_update>(&update)) {
        apply_leaving_update(state, *leaving);
    }
    else {
        apply_host_list(state, std::get<host_list>(update));
    }
}

RC_GTEST_PROP(membership, any_order_of_the_same_updates_gives_the_same_view, ())
{
    std::vector<any_update> updates;
    for (int i = 0; i < 12; ++i) {
        updates.push_back(random_update());
    }
    membership_state first;
    for (any_update const& update : updates) {
        apply(first, update);
    }
    random_engine engine(*rc::gen::arbitrary<std::uint64_t>());
    shuffle(updates, engine);
    updates.push_back(updates.front()); // a repeated update changes nothing
    membership_state second;
    for (any_update const& update : updates) {
        apply(second, update);
    }
    RC_ASSERT(summary(first) == summary(second));
}

} // namespace
