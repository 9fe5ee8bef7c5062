#include "config/config_check.h"
#include "config/config_section.h"
#include "config/sample.h"
#include "core/hash_func.h"
#include "core/invariant.h"
#include "net/peer_codec.h"
#include "node/node.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

using namespace cove;

struct bundle {
    config_manifest manifest;
    std::vector<config_section> sections;
};

/** @return generation @p number; generations differ in the slots of a service. */
bundle make_generation(std::uint64_t number, deployment config = sample_deployment())
{
    config.services[0].slots = static_cast<int>(number);
    normalize(config);
    bundle out;
    out.sections = split_sections(config).value();
    out.manifest = {generation{number}, "submit " + std::to_string(number),
                    section_refs(out.sections)};
    return out;
}

/** Entry hosts of zones n1 and s1 on a network that delivers at once, or drops messages. */
struct fleet {
    std::map<node_id, node_state> nodes;
    std::map<node_id, bundle> bridges; ///< what the bridge of a node reads from the platform
    std::set<node_id> cut;             ///< nodes that are cut off from all others
    std::map<node_id, std::uint64_t> bytes_in;
    std::map<node_id, bool> watches;
    instant now{mono_time(seconds(100)), wall_time(seconds(1000))};
    std::vector<std::pair<node_id, peer_envelope>> queue;

    explicit fleet(int per_zone)
    {
        for (int i = 0; i < 2 * per_zone; ++i) {
            char const* zone = i % 2 == 0 ? "n1" : "s1";
            add(node_id{"e" + std::to_string(100 + i)}, zone_id{zone});
        }
    }

    void add(node_id const& id, zone_id const& zone)
    {
        incarnation_id const incarnation{nodes.size() + 1};
        nodes.emplace(id, make_node({id, zone, incarnation}, nodes.size()));
        auto hosts = std::make_shared<host_list>();
        hosts->version = nodes.size();
        for (auto const& [other, state] : nodes) {
            hosts->entry_hosts.push_back({other, state.self.zone, "-", other.value});
        }
        for (auto& [other, state] : nodes) {
            handle(other, host_list_changed{hosts});
        }
    }

    void handle(node_id const& id, node_event_body body)
    {
        for (node_effect& effect : reduce(nodes.at(id), {now, std::move(body)})) {
            if (auto* send = std::get_if<send_peer>(&effect)) {
                deliver(id, *send);
            }
        }
    }

    void deliver(node_id const& from, send_peer& send)
    {
        if (send.to == bridge_of(from)) {
            answer_as_bridge(from, send.body);
        }
        else if (nodes.contains(send.to) && !cut.contains(from) && !cut.contains(send.to)) {
            peer_envelope envelope{from, nodes.at(from).self.incarnation, std::move(send.body)};
            bytes_in[send.to] += encode_envelope(envelope).size();
            queue.emplace_back(send.to, std::move(envelope));
        }
    }

    void answer_as_bridge(node_id const& entry, peer_message const& message)
    {
        if (auto const* role = std::get_if<bridge_role>(&message)) {
            watches[entry] = role->watch;
        }
        auto const shown = bridges.find(entry);
        if (shown == bridges.end()) {
            return;
        }
        auto const respond = [&](peer_message body) {
            queue.emplace_back(entry,
                               peer_envelope{bridge_of(entry), incarnation_id{}, std::move(body)});
        };
        if (std::holds_alternative<bridge_role>(message)) {
            respond(config_offer{shown->second.manifest.number});
        }
        else if (auto const* fetch = std::get_if<config_fetch>(&message)) {
            if (fetch->manifest) {
                respond(shown->second.manifest);
            }
            respond(config_sections{shown->second.sections});
        }
    }

    void deliver_all()
    {
        while (!queue.empty()) {
            auto batch = std::exchange(queue, {});
            for (auto& [to, envelope] : batch) {
                handle(to, std::move(envelope));
            }
        }
    }

    void run(milliseconds length)
    {
        for (milliseconds step{100}; length > milliseconds::zero(); length -= step) {
            now.mono += step;
            now.wall += step;
            for (auto& [id, state] : nodes) {
                if (state.next_wake <= now.mono) {
                    handle(id, wake_due{});
                }
            }
            deliver_all();
        }
    }

    /** @return how many nodes have @p number in force. */
    [[nodiscard]] std::size_t count_at(std::uint64_t number) const
    {
        return static_cast<std::size_t>(std::ranges::count_if(nodes, [&](auto const& item) {
            return item.second.config_generation.value == number;
        }));
    }
};

node_id const first{"e100"};

TEST(config_state, change_reaches_all_hosts_from_one_watching_bridge_within_five_seconds)
{
    fleet all(20);
    all.run(seconds(3));
    for (std::uint64_t number : {1U, 2U, 3U}) {
        all.bridges[first] = make_generation(number);
        all.run(seconds(5));
        EXPECT_EQ(all.count_at(number), 40U);
    }
    EXPECT_EQ(all.nodes.at(node_id{"e139"}).config->services[0].slots, 3);
}

TEST(config_state, two_members_of_each_zone_watch)
{
    fleet all(5);
    all.run(seconds(4));
    auto const watching = [&] {
        std::string names;
        for (auto const& [id, watch] : all.watches) {
            names += watch ? id.value + " " : "";
        }
        return names;
    };
    EXPECT_EQ(watching(), "e100 e101 e102 e103 ");
    all.cut = {first};
    all.run(seconds(5));
    EXPECT_EQ(watching(), "e100 e101 e102 e103 e104 ");
}

TEST(config_state, exchange_repairs_what_a_cut_zone_missed)
{
    for (bool const exchange : {true, false}) {
        fleet all(4);
        for (auto& [id, state] : all.nodes) {
            state.disabled.config_exchange = !exchange;
        }
        all.run(seconds(3));
        for (auto const& [id, state] : all.nodes) {
            if (state.self.zone.value == "s1") {
                all.cut.insert(id);
            }
        }
        for (std::uint64_t number = 1; number < 5; ++number) {
            all.bridges[first] = make_generation(number);
            all.run(seconds(5));
        }
        EXPECT_EQ(all.count_at(4), 4U);
        all.cut.clear();
        all.bridges.clear();
        all.run(seconds(20));
        EXPECT_EQ(all.count_at(4), exchange ? 8U : 4U);
    }
}

TEST(config_state, new_host_fetches_from_a_peer_while_the_platform_is_down)
{
    fleet all(2);
    all.run(seconds(2));
    all.bridges[first] = make_generation(9);
    all.run(seconds(5));
    all.bridges.clear();
    all.run(std::chrono::hours(1));
    all.add(node_id{"e200"}, zone_id{"s1"});
    all.run(seconds(5));
    EXPECT_EQ(all.count_at(9), 5U);
}

TEST(config_state, stale_platform_read_does_not_lower_the_generation)
{
    fleet all(2);
    all.run(seconds(2));
    all.bridges[first] = make_generation(5);
    all.run(seconds(5));
    all.bridges[first] = make_generation(4);
    all.bridges[node_id{"e101"}] = make_generation(3);
    all.run(seconds(10));
    EXPECT_EQ(all.count_at(5), 4U);
}

TEST(config_state, transfer_of_an_overtaken_generation_is_dropped)
{
    node_id const id{"e100"};
    node_id const source{"e101"};
    fleet nodes(1);
    bundle const older = make_generation(5);
    auto const send = [&](auto message) {
        nodes.handle(id, peer_envelope{source, incarnation_id{2}, std::move(message)});
    };
    send(older.manifest);
    nodes.handle(
        id, config_changed{generation{6}, std::make_shared<deployment const>(sample_deployment())});
    send(config_sections{older.sections});
    EXPECT_EQ(nodes.nodes.at(id).config_generation, generation{6});
}

TEST(config_state, without_the_order_of_generations_the_invariant_stops_the_node)
{
    fleet all(1);
    all.bridges[first] = make_generation(5);
    all.run(seconds(3));
    all.nodes.at(first).disabled.generation_order = true;
    all.bridges[first] = make_generation(4);
    EXPECT_THROW(all.run(seconds(3)), invariant_violation);
    auto const earlier = std::make_shared<deployment const>(sample_deployment());
    EXPECT_THROW(all.handle(first, config_changed{generation{3}, earlier}), invariant_violation);
}

TEST(config_state, unusable_section_is_rejected_and_the_next_generation_taken)
{
    fleet all(1);
    bundle bad = make_generation(1);
    std::string const text = R"({"services":[{"id":1}]})";
    bad.sections[4] = {{"services", content_hash(text)}, make_payload(text)};
    bad.manifest.sections[4] = bad.sections[4].ref;
    all.bridges[first] = bad;
    all.run(seconds(4));
    EXPECT_EQ(all.count_at(0), 2U);
    all.bridges[first] = make_generation(2);
    all.run(seconds(5));
    EXPECT_EQ(all.count_at(2), 2U);
}

TEST(config_state, small_change_costs_its_section_at_120000_blocks)
{
    fleet all(4);
    deployment config = sample_deployment();
    add_blocks(config, 120'000);
    all.run(seconds(2));
    all.bridges[first] = make_generation(1, config);
    all.run(seconds(30));
    ASSERT_EQ(all.count_at(1), 8U);
    node_id const last{"e107"};
    std::uint64_t const whole = all.bytes_in[last];
    all.bytes_in.clear();
    all.bridges[first] = make_generation(2, config);
    all.run(seconds(5));
    ASSERT_EQ(all.count_at(2), 8U);
    EXPECT_LT(all.bytes_in[last] * 50, whole);
    RecordProperty("whole_bytes", static_cast<int>(whole));
    RecordProperty("change_bytes", static_cast<int>(all.bytes_in[last]));
}

RC_GTEST_PROP(config_state, generation_never_falls_in_any_order_of_messages, ())
{
    auto state = make_node({node_id{"e"}, zone_id{"n1"}, incarnation_id{1}}, 1);
    instant now{mono_time(seconds(1)), wall_time(seconds(1))};
    node_id const peers[] = {node_id{"a"}, node_id{"b"}, bridge_of(node_id{"e"})};
    generation highest{0};
    for (int i = 0; i < *rc::gen::inRange(1, 60); ++i) {
        bundle const shown = make_generation(*rc::gen::inRange<std::uint64_t>(1, 6));
        peer_message messages[] = {config_offer{shown.manifest.number}, shown.manifest,
                                   config_sections{shown.sections}, config_fetch{true, {"x"}}};
        now.mono += milliseconds(*rc::gen::inRange(0, 2000));
        reduce(state, {now, peer_envelope{peers[*rc::gen::inRange(0, 3)], incarnation_id{},
                                          messages[*rc::gen::inRange(0, 4)]}});
        RC_ASSERT(state.config_generation >= highest);
        highest = state.config_generation;
        if (highest.value != 0) {
            RC_ASSERT(state.config->services[0].slots == static_cast<int>(highest.value));
        }
    }
}

} // namespace
