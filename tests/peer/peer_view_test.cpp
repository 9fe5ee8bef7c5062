#include "peer/host_fleet.h"
#include "support/position.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cove {
namespace {

TEST(host_view, finds_all_hosts_from_one_seed)
{
    fleet all = three_zones();
    all.advance(milliseconds{4000});
    for (char const* const name : {"a1", "b2", "c1"}) {
        EXPECT_EQ(all.serving_seen_by(name).size(), 6U) << name;
    }
}

TEST(host_view, keeps_the_version_of_the_serving_hosts_until_they_change)
{
    fleet all = three_zones();
    all.advance(milliseconds{6000});
    host_view& view = all.hosts.at("ip-a2");
    auto const before = view.serving_version(all.now);
    all.advance(milliseconds{4000});
    EXPECT_EQ(view.serving_version(all.now), before);
    local_host_state stopping = ready();
    stopping.leaving = true;
    all.deliver("ip-b1", all.hosts.at("ip-b1").announce_leaving(stopping, all.now));
    EXPECT_NE(view.serving_version(all.now), before);
    EXPECT_FALSE(all.serving_seen_by("a2").contains("b1"));
}

TEST(host_view, knows_the_hosts_that_stop_until_they_have_started_again)
{
    fleet all = three_zones();
    all.advance(milliseconds{6000});
    local_host_state stopping = ready();
    stopping.leaving = true;
    all.deliver("ip-b1", all.hosts.at("ip-b1").announce_leaving(stopping, all.now));
    std::set<node_id> const stops{node_id("b1")};
    for (char const* const ip : {"ip-a2", "ip-b2", "ip-c1"}) {
        EXPECT_EQ(all.hosts.at(ip).stopping_hosts(all.now), stops) << ip;
    }
    all.dead.insert("ip-b1");
    all.advance(milliseconds{3000});
    EXPECT_EQ(all.hosts.at("ip-a2").stopping_hosts(all.now), stops);
    all.dead.clear();
    all.add("b1", "b", 2);
    all.advance(milliseconds{6000});
    for (char const* const ip : {"ip-a2", "ip-b2", "ip-c1"}) {
        EXPECT_TRUE(all.hosts.at(ip).stopping_hosts(all.now).empty()) << ip;
    }
}

TEST(host_view, takes_a_stop_that_is_long_past_for_ended)
{
    host_view view(report("a1", "a"), 1);
    host_report leaving = report("b1", "b");
    leaving.leaving = true;
    view.receive(gossip_from("b1", {leaving}), start);
    EXPECT_TRUE(view.stopping_hosts(start + seconds{30}).contains(node_id("b1")));
    EXPECT_FALSE(view.stopping_hosts(start + seconds{60}).contains(node_id("b1")));
}

// CONFIG: a zone that the store turned away waited for the next round to hear of a change.
TEST(host_view, tells_other_zones_of_a_new_configuration_before_the_next_round)
{
    fleet all = three_zones();
    all.advance(milliseconds{4000});
    host_view& speaker = all.hosts.at("ip-a1");
    local_host_state own = ready();
    for (std::uint64_t version = 2; version < 10; ++version) { // in all phases of the round
        all.advance(5 * host_view::tick_interval);
        own.versions.config = generation(version);
        std::set<zone_id> told;
        for (outgoing_host_message const& effect : speaker.tick(own, all.now)) {
            auto const& message = std::get<gossip>(effect.message);
            bool const names_it = !message.zones.empty() &&
                                  message.zones.front().versions.config == generation(version);
            for (std::string const& ip : names_it ? effect.ips : std::vector<std::string>()) {
                told.insert(all.hosts.at(ip).zone_hosts(all.now).front()->zone);
            }
        }
        EXPECT_TRUE(told.contains(zone_id("b")) && told.contains(zone_id("c"))) << version;
    }
}

TEST(host_view, sends_no_message_between_zones_for_a_new_position_of_the_store)
{
    auto const between_zones = [](bool advances) {
        fleet all = three_zones();
        all.advance(milliseconds{4000});
        host_view& speaker = all.hosts.at("ip-a1");
        local_host_state own = ready();
        int sent = 0;
        for (std::uint64_t tick = 1; tick <= 40; ++tick) {
            all.now += host_view::tick_interval;
            own.versions.evacuations = own.versions.targets = position(advances ? tick : 1);
            for (outgoing_host_message const& effect : speaker.tick(own, all.now)) {
                sent +=
                    effect.ips.empty() || std::get<gossip>(effect.message).zones.empty() ? 0 : 1;
            }
        }
        return sent;
    };
    EXPECT_EQ(between_zones(true), between_zones(false));
}

TEST(host_view, drops_a_dead_host_everywhere_within_seconds)
{
    fleet all = three_zones();
    all.advance(milliseconds{4000});
    all.dead.insert("ip-a1"); // the speaker of its zone
    all.advance(milliseconds{5500});
    EXPECT_FALSE(all.serving_seen_by("a2").contains("a1"));
    EXPECT_FALSE(all.serving_seen_by("c1").contains("a1"));
    EXPECT_EQ(all.serving_seen_by("c1").size(), 5U); // another host became the speaker of its zone
}

TEST(host_view, rediscovers_a_partitioned_zone)
{
    fleet all = three_zones();
    all.advance(milliseconds{4000});
    all.partitioned = {"ip-b1", "ip-b2"};
    all.advance(milliseconds{6000});
    EXPECT_EQ(all.serving_seen_by("a1").size(), 4U);
    EXPECT_EQ(all.serving_seen_by("b1"), (std::set<std::string>{"b1", "b2"}));
    all.partitioned.clear();
    all.advance(milliseconds{8000});
    EXPECT_EQ(all.serving_seen_by("a1").size(), 6U);
    EXPECT_EQ(all.serving_seen_by("b2").size(), 6U);
}

TEST(host_view, keeps_all_zones_when_all_links_fall_silent)
{
    fleet all;
    for (std::string const zone : {"a", "b", "c"}) {
        for (int host = 1; host <= 14; ++host) {
            all.add(zone + std::to_string(host), zone);
        }
    }
    all.advance(milliseconds{8000});
    all.silence_links();
    constexpr milliseconds contact{3000};
    all.advance(contact);
    for (int tick = 0; tick < 80; ++tick) {
        all.advance(host_view::tick_interval);
        for (char const* const name : {"a1", "a7", "b2", "c14"}) {
            EXPECT_EQ(all.hosts.at(std::string("ip-") + name).zones(all.now).size(), 3U)
                << name << " " << tick;
        }
    }
}

TEST(host_view, announces_its_shutdown_to_all_hosts)
{
    fleet all = three_zones();
    all.advance(milliseconds{4000});
    local_host_state own = ready();
    own.leaving = true;
    all.deliver("ip-a1", all.hosts.at("ip-a1").announce_leaving(own, all.now));
    for (char const* const name : {"a2", "b1", "c2"}) {
        EXPECT_FALSE(all.serving_seen_by(name).contains("a1")) << name;
    }
}

TEST(host_view, sends_between_zones_from_one_host_of_each)
{
    fleet all = three_zones();
    all.advance(milliseconds{4000});
    all.sent_messages.clear();
    all.advance(milliseconds{10'000});
    constexpr int ticks = 40;
    constexpr int other_zones = 2;
    EXPECT_EQ(all.sent_messages["ip-a2"], ticks); // to its zone peer
    EXPECT_EQ(all.sent_messages["ip-a1"],
              ticks + ticks / 4 * other_zones); // plus the status of its zone
}

/** @return bytes that a host of such a fleet sends per second once all hosts know each other. */
double bytes_per_second(int zones, int hosts_in_zone)
{
    fleet all;
    for (int zone = 0; zone < zones; ++zone) {
        std::string const letter(1, static_cast<char>('a' + zone));
        for (int host = 1; host <= hosts_in_zone; ++host) {
            all.add(letter + std::to_string(host), letter);
        }
    }
    all.advance(seconds{12});
    EXPECT_EQ(all.serving_seen_by("b2").size(), all.hosts.size());
    constexpr int measured_s = 8;
    all.sent_bytes = 0;
    all.advance(seconds{measured_s});
    return static_cast<double>(all.sent_bytes) / measured_s / static_cast<double>(all.hosts.size());
}

TEST(host_view, keeps_the_traffic_per_host_bounded)
{
    constexpr double bound = 17'000; // bytes per second that a host may send for control
    double const small = bytes_per_second(6, 5);
    double const large = bytes_per_second(6, 50);
    EXPECT_LT(small, bound);
    EXPECT_LT(large, bound);
}

TEST(host_view, drops_a_crashed_host_of_another_zone)
{
    fleet all = three_zones();
    all.advance(milliseconds{4000});
    all.dead.insert("ip-b2"); // not the speaker; its zone's next roster omits it
    all.advance(milliseconds{3500});
    EXPECT_FALSE(all.serving_seen_by("a2").contains("b2"));
    EXPECT_TRUE(all.serving_seen_by("a2").contains("b1"));
}

TEST(host_view, readmits_a_host_restarted_after_its_shutdown)
{
    fleet all = three_zones();
    all.advance(milliseconds{4000});
    local_host_state own = ready();
    own.leaving = true;
    all.deliver("ip-b2", all.hosts.at("ip-b2").announce_leaving(own, all.now));
    all.hosts.erase("ip-b2");
    all.advance(milliseconds{500});
    EXPECT_FALSE(all.serving_seen_by("c1").contains("b2"));
    all.add("b2", "b", 2);
    all.advance(milliseconds{4000});
    EXPECT_TRUE(all.serving_seen_by("c1").contains("b2"));
}

TEST(host_view, accepts_only_the_latest_incarnation)
{
    host_view view(report("a1", "a"), 1);
    host_report const old = report("a2", "a", 5);
    host_report fresh = report("a2", "a", 6);
    fresh.ip = "ip-new";
    view.receive(gossip_from("a2", {old}), start);
    view.receive(gossip_from("a2", {fresh}), start);
    host_report late = old;
    late.sequence = 99;
    view.receive(gossip_from("a2", {late}), start);
    EXPECT_EQ(view.zone_peer_ips(start), std::vector<std::string>{"ip-new"});
}

TEST(host_view, selects_store_followers_and_replacements)
{
    constexpr int max_followers = 2;
    host_view view(report("a3", "a"), 1);
    EXPECT_TRUE(view.follows_store(max_followers, start));
    view.receive(gossip_from("a1", {report("a1", "a"), report("a2", "a")}), start);
    EXPECT_FALSE(view.follows_store(max_followers, start));
    host_report lost = report("a2", "a");
    lost.sequence = 2;
    lost.store_lost = true;
    view.receive(gossip_from("a2", {lost}), start);
    EXPECT_TRUE(view.follows_store(max_followers, start)); // replaces the host that lost the store
    host_view second(report("a2", "a"), 1);
    second.receive(gossip_from("a1", {report("a1", "a")}), start);
    EXPECT_TRUE(second.follows_store(max_followers, start));
    view.receive(gossip_from("a1", {report("a1", "a", 2)}), start);
    EXPECT_TRUE(
        view.follows_store(max_followers, start + seconds{5})); // both others have timed out
}

TEST(host_message, round_trips)
{
    host_report full = report("a1", "a");
    full.leaving = true;
    full.store_lost = true;
    full.versions.config = generation(7);
    full.versions.targets = position(8);
    full.versions.evacuations = position(9);
    full.loads = {{service_id("desk"), 4, 6, 2.5, 3}};
    target_entry entry;
    entry.id = target_id("t");
    entry.service = service_id("desk");
    entry.address = "10.0.0.2:90";
    entry.zone = zone_id("a");
    entry.slots = 5;
    entry.phase = target_phase::leaving;
    entry.cold_left = milliseconds{700};
    entry.incarnation = target_incarnation(1234567890123);

    full.targets_in_flight = {{77, 2}, {78, 1}};
    full.new_objects = {{service_id("desk"), {5, 4'000'000'000}}};
    zone_status status;
    status.zone = zone_id("b");
    status.speaker = node_id("b1");
    status.sequence = 12;
    status.versions.targets = position(10);
    status.loads = full.loads;
    status.roster = {{node_id("b1"), zone_id("b"), "10.0.0.3", "10.0.0.3:80", host_incarnation(3)}};
    gossip const sent{node_id("a1"), "ip-a1", {full}, {status}, true};

    auto const received = decode_host_message(encode_host_message(sent), "peer");
    ASSERT_TRUE(received);
    auto const& back = std::get<gossip>(*received).reports.at(0);
    EXPECT_EQ(back.name, full.name);
    EXPECT_TRUE(back.leaving && back.store_lost && std::get<gossip>(*received).answer_wanted);
    EXPECT_EQ(back.versions.targets, full.versions.targets);
    EXPECT_EQ(back.loads.at(0).listed, 6);
    ASSERT_EQ(back.targets_in_flight.size(), 2U);
    EXPECT_EQ(back.targets_in_flight.at(0).target, 77U);
    EXPECT_EQ(back.targets_in_flight.at(0).in_flight, 2);
    ASSERT_EQ(back.new_objects.size(), 1U);
    EXPECT_EQ(back.new_objects[0].service, service_id("desk"));
    EXPECT_EQ(back.new_objects[0].objects, (std::vector<std::uint32_t>{5, 4'000'000'000}));
    auto const& zone = std::get<gossip>(*received).zones.at(0);
    EXPECT_EQ(zone.sequence, 12U);
    EXPECT_EQ(zone.versions.targets, position(10));
    EXPECT_EQ(zone.loads.at(0).listed, 6);
    EXPECT_EQ(zone.roster, status.roster);
    EXPECT_EQ(std::get<gossip>(*received).sender_ip, "ip-a1");

    auto const changes = decode_host_message(
        encode_host_message(target_changes{
            position(1), position(2), {{target_id("t"), entry}, {target_id("u"), std::nullopt}}}),
        "peer");
    ASSERT_TRUE(changes);
    auto const& list = std::get<target_changes>(*changes);
    EXPECT_EQ(list.changes.at(0).entry, entry);
    EXPECT_FALSE(list.changes.at(1).entry);

    auto const snapshot_result = decode_host_message(
        encode_host_message(host_snapshot{packed_config{generation(7), "packed"},
                                          target_snapshot{{entry}, position(3)},
                                          evacuation_snapshot{{zone_id("a")}, position(4)},
                                          {"10.0.0.9"}}),
        "peer");
    ASSERT_TRUE(snapshot_result);
    auto const& received_snapshot = std::get<host_snapshot>(*snapshot_result);
    EXPECT_EQ(received_snapshot.config->version, generation(7));
    EXPECT_EQ(received_snapshot.config->bytes, "packed");
    EXPECT_EQ(received_snapshot.relay_to, std::vector<std::string>{"10.0.0.9"});
    EXPECT_EQ(received_snapshot.targets->entries.at(0), entry);
    EXPECT_TRUE(received_snapshot.evacuations->zones.contains(zone_id("a")));
}

TEST(host_message, carries_the_era_of_each_position)
{
    host_report sent = report("a1", "a");
    sent.versions.targets = position(8, 3);
    sent.versions.evacuations = position(9, 4);
    zone_status status;
    status.versions = sent.versions;
    auto const back = decode_host_message(
        encode_host_message(gossip{node_id("a1"), "ip", {sent}, {status}}), "t");
    ASSERT_TRUE(back);
    EXPECT_EQ(latest_era(*back), store_era(4));
    auto const& got = std::get<gossip>(*back);
    EXPECT_EQ(got.reports.at(0).versions.targets, position(8, 3));
    EXPECT_EQ(got.zones.at(0).versions.evacuations, position(9, 4));

    auto const changes = decode_host_message(
        encode_host_message(target_changes{position(1, 5), position(2, 5), {}}), "t");
    ASSERT_TRUE(changes);
    EXPECT_EQ(std::get<target_changes>(*changes).from, position(1, 5));
    EXPECT_EQ(latest_era(*changes), store_era(5));

    target_entry kept;
    kept.id = target_id("t");
    auto const list = decode_host_message(
        encode_host_message(
            host_snapshot{{},
                          target_snapshot{{kept}, position(3, 6), {{kept.id, milliseconds{700}}}},
                          evacuation_snapshot{{}, position(4, 7)},
                          {}}),
        "t");
    ASSERT_TRUE(list);
    auto const& snapshot = std::get<host_snapshot>(*list);
    EXPECT_EQ(snapshot.targets->at, position(3, 6));
    EXPECT_EQ(snapshot.evacuations->at, position(4, 7));
    ASSERT_EQ(snapshot.targets->held.size(), 1U);
    EXPECT_EQ(snapshot.targets->held[0].id, kept.id);
    EXPECT_EQ(snapshot.targets->held[0].left, milliseconds{700});
}

// Hosts of a build that knows no eras name none; their data is of the era that this host is in.
TEST(host_message, without_an_era_is_of_the_era_of_the_receiver)
{
    host_report sent = report("a1", "a");
    sent.versions.targets = position(8, 0);
    auto const back = decode_host_message(
        encode_host_message(gossip{node_id("a1"), "ip", {sent}, {}}), "t", store_era(3));
    ASSERT_TRUE(back);
    EXPECT_EQ(std::get<gossip>(*back).reports.at(0).versions.targets, position(8, 3));
    EXPECT_EQ(latest_era(*back), store_era(3));
}

RC_GTEST_PROP(host_message, decodes_any_bytes_or_fails, (std::string const& bytes))
{
    auto const message = decode_host_message(bytes, "peer 10.0.0.9");
    if (!message) {
        RC_ASSERT(message.error().peer == "peer 10.0.0.9");
    }
}

TEST(host_message, crash_reports_survive_encoding)
{
    crash_record const record{request_fingerprint(0xfedcba9876543210),
                              {{target_id("t0"), target_incarnation(7), node_id("h1"), true},
                               {target_id("t1"), target_incarnation(-1), node_id("h2"), false}},
                              milliseconds{1234}};
    auto const decoded =
        decode_host_message(encode_host_message(crash_report{{record}, true}), "t");
    ASSERT_TRUE(decoded);
    auto const& got = std::get<crash_report>(*decoded);
    EXPECT_TRUE(got.pass_on);
    ASSERT_EQ(got.records.size(), 1U);
    EXPECT_EQ(got.records[0].fingerprint, record.fingerprint);
    EXPECT_EQ(got.records[0].age, record.age);
    ASSERT_EQ(got.records[0].ends.size(), 2U);
    EXPECT_EQ(got.records[0].ends[0].target, target_id("t0"));
    EXPECT_EQ(got.records[0].ends[0].incarnation, target_incarnation(7));
    EXPECT_EQ(got.records[0].ends[0].observer, node_id("h1"));
    EXPECT_TRUE(got.records[0].ends[0].acquitted);
    EXPECT_EQ(got.records[0].ends[1].incarnation, target_incarnation(-1));
    EXPECT_FALSE(got.records[0].ends[1].acquitted);
}

} // namespace
} // namespace cove
