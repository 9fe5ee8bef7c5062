/** @file What one host sends to others of the store's data and what it asks them for. */

#include "peer/replication.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

namespace cove {
namespace {

store_era const era{1};

store_position position(std::uint64_t at)
{
    return {era, revision(at)};
}

known_versions versions_with(std::uint64_t config, std::uint64_t targets = 1,
                             std::uint64_t evacuations = 1)
{
    return {generation(config), position(targets), position(evacuations)};
}

std::string ip_of(std::string const& name)
{
    return "ip-" + name;
}

/** One host of zone a, and what it knows of others. */
class replicating_host {
public:
    explicit replicating_host(std::string const& name, replica_role role = {true, false, false},
                              std::uint64_t seed = 1)
        : role_(role), view_(report_of(name, "a"), seed),
          replication_(ip_of(name), zone_id("a"), view_, access(), seed)
    {
        replication_.targets_listed(copies.targets);
        replication_.evacuations_listed(copies.evacuations);
    }

    static host_report report_of(std::string const& name, std::string const& zone)
    {
        host_report out;
        out.name = node_id(name);
        out.zone = zone_id(zone);
        out.ip = ip_of(name);
        out.incarnation = host_incarnation(1);
        out.sequence = 1;
        out.ready = true;
        out.versions = versions_with(1);
        return out;
    }

    /** Receives the report of another host of the zone. */
    void hear_peer(std::string const& name, known_versions const& versions)
    {
        host_report report = report_of(name, "a");
        report.sequence = ++sequence_;
        report.versions = versions;
        view_.receive({report.name, report.ip, {report}, {}, false}, now);
    }

    /** Receives the status of another zone, with all its hosts. */
    void hear_zone(std::string const& zone, known_versions const& versions, int hosts = 1)
    {
        zone_status status;
        status.zone = zone_id(zone);
        status.speaker = node_id(zone + "0");
        status.incarnation = host_incarnation(1);
        status.sequence = ++sequence_;
        status.ip = ip_of(zone + "0");
        status.versions = versions;
        status.roster.emplace();
        for (int i = 0; i < hosts; ++i) {
            std::string const name = zone + std::to_string(i);
            status.roster->push_back(
                {node_id(name), zone_id(zone), ip_of(name), "10.0.0.1:80", host_incarnation(1)});
        }
        view_.receive({status.speaker, status.ip, {}, {status}, false}, now);
    }

    host_effects hear_notice(std::string const& name, std::string const& zone,
                             known_versions const& versions, bool pass_on = false)
    {
        return replication_.on(change_notice{ip_of(name), zone_id(zone), versions, pass_on}, now);
    }

    /** @return the IPs of the hosts that were asked within @p time. */
    std::vector<std::string> pulls_within(milliseconds time)
    {
        std::vector<std::string> out;
        for (mono_time const end = now + time; now < end; now += host_view::tick_interval) {
            append_pulls(out, replication_.tick(role_, now));
        }
        return out;
    }

    host_effects on(pull_refused const& message) { return replication_.on(message, role_, now); }
    replication& decisions() { return replication_; }
    host_view& view() { return view_; }

    static void append_pulls(std::vector<std::string>& out, host_effects const& effects)
    {
        for (outgoing_host_message const& effect : effects) {
            if (std::holds_alternative<pull_request>(effect.message)) {
                out.insert(out.end(), effect.ips.begin(), effect.ips.end());
            }
        }
    }

    mono_time now{seconds{100}};
    known_versions copies = versions_with(1);
    std::size_t config_bytes = 100;
    std::size_t targets = 10;
    int doubts = 0;

private:
    replica_access access()
    {
        replica_access out;
        out.versions = [this] { return copies; };
        out.config = [this]() -> std::optional<packed_config> {
            return packed_config{copies.config, std::string(config_bytes, 'c')};
        };
        out.targets = [this]() -> std::optional<target_snapshot> {
            return target_snapshot{std::vector<target_entry>(targets), copies.targets};
        };
        out.evacuations = [this] { return evacuation_snapshot{{}, copies.evacuations}; };
        out.doubt_store = [this](pull_kind) { ++doubts; };
        out.log = [](std::string const&, log_fields const&) {};
        return out;
    }

    replica_role role_;
    std::uint64_t sequence_ = 1;
    host_view view_;
    replication replication_;
};

template <class Message>
std::vector<Message const*> messages(host_effects const& effects)
{
    std::vector<Message const*> out;
    for (outgoing_host_message const& effect : effects) {
        if (auto const* const message = std::get_if<Message>(&effect.message)) {
            out.push_back(message);
        }
    }
    return out;
}

target_changes removal(std::uint64_t from, std::uint64_t to)
{
    return {position(from), position(to), {{target_id("t" + std::to_string(to)), std::nullopt}}};
}

TEST(replication, a_single_source_is_asked_again)
{
    replicating_host host("a0");
    host.hear_peer("a1", versions_with(2));
    auto const asked = host.pulls_within(milliseconds{1500});
    EXPECT_EQ(asked, (std::vector<std::string>{"ip-a1", "ip-a1"}));
}

// A mute peer that has told of a version kept its zone from asking any other host.
TEST(replication, a_source_that_does_not_answer_is_not_asked_again_while_others_have_the_data)
{
    replicating_host host("a5");
    host.hear_peer("a1", versions_with(2));
    host.hear_zone("b", versions_with(2));
    auto const asked = host.pulls_within(milliseconds{2000});
    ASSERT_GE(asked.size(), 2U);
    EXPECT_EQ(asked[0], "ip-a1");
    EXPECT_EQ(asked[1], "ip-b0");
}

// A speaker reports the versions of its zone and may itself lack them.
TEST(replication, a_host_that_has_the_data_is_asked_before_a_speaker_that_may_lack_it)
{
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
        replicating_host host("a0", {true, false, false}, seed);
        host.hear_zone("b", versions_with(2));
        host.hear_zone("c", versions_with(2));
        host.hear_zone("d", versions_with(2));
        host.hear_notice("c1", "c", versions_with(2));
        auto const asked = host.pulls_within(milliseconds{600});
        ASSERT_EQ(asked.size(), 1U);
        EXPECT_EQ(asked[0], "ip-c1");
    }
}

// A notice that is passed on may arrive after a newer one of the same host.
TEST(replication, a_late_notice_does_not_hide_a_newer_one)
{
    replicating_host host("a0");
    host.hear_notice("b1", "b", versions_with(3));
    host.hear_notice("b1", "b", versions_with(2));
    host.copies.config = generation(2);
    EXPECT_EQ(host.pulls_within(milliseconds{600}), (std::vector<std::string>{"ip-b1"}));
}

// Without a follower that runs, the list waited longer than a target may take to leave.
TEST(replication, a_host_behind_two_silent_followers_pulls_leaving_targets_in_time)
{
    replicating_host host("a2");
    host.hear_peer("a0", versions_with(1));
    host.hear_peer("a1", versions_with(1));
    host.hear_notice("b1", "b", versions_with(1, 2));
    EXPECT_EQ(host.pulls_within(milliseconds{1500}).size(), 1U);
}

// An answer with a list of 30,000 targets kept every configuration back for seconds.
TEST(replication, an_answer_with_a_long_list_does_not_delay_a_configuration)
{
    replicating_host host("a0");
    host.targets = 30'000;
    host.copies = versions_with(2, 2, 2);
    host.decisions().targets_listed(position(2));
    pull_request lists{ip_of("a1")};
    lists.targets = true;
    ASSERT_EQ(messages<host_snapshot>(host.decisions().on(lists, host.now)).size(), 1U);
    pull_request configs{ip_of("a2")};
    configs.config = true;
    auto const out = host.decisions().on(configs, host.now + milliseconds{100});
    ASSERT_EQ(messages<host_snapshot>(out).size(), 1U);
    EXPECT_EQ(messages<host_snapshot>(out)[0]->config->version, generation(2));
}

TEST(replication, a_notice_is_passed_on_once)
{
    replicating_host host("a0");
    host.hear_peer("a1", versions_with(1));
    host.hear_peer("a2", versions_with(1));
    auto const first = host.hear_notice("b1", "b", versions_with(2), true);
    auto const passed = messages<change_notice>(first);
    ASSERT_EQ(passed.size(), 1U);
    EXPECT_FALSE(passed[0]->pass_on);
    EXPECT_EQ(passed[0]->sender_ip, "ip-b1");
    EXPECT_EQ(first[0].ips.size(), 2U);
    EXPECT_TRUE(host.hear_notice("c1", "c", versions_with(2), true).empty());
    EXPECT_TRUE(host.hear_notice("c1", "c", versions_with(3), false).empty());
}

TEST(replication, a_follower_tells_one_host_of_each_other_zone)
{
    replicating_host host("a0", {true, true, false});
    host.hear_zone("b", versions_with(1), 3);
    host.hear_zone("c", versions_with(1), 3);
    host.copies.config = generation(2);
    auto const out = host.decisions().config_from_store(host.now);
    std::set<char> zones;
    for (outgoing_host_message const& effect : out) {
        auto const* const notice = std::get_if<change_notice>(&effect.message);
        if (notice != nullptr && notice->pass_on) {
            EXPECT_EQ(effect.ips.size(), 2U);
            for (std::string const& ip : effect.ips) {
                zones.insert(ip.at(3));
            }
        }
    }
    EXPECT_EQ(zones, (std::set<char>{'b', 'c'}));
}

// Both followers of the only zone with the store may tell hosts that are paused.
TEST(replication, zones_that_do_not_tell_of_a_change_are_told_of_it_again)
{
    replicating_host host("a0", {true, true, false});
    host.hear_zone("b", versions_with(1), 3);
    host.hear_zone("c", versions_with(1), 3);
    host.copies.config = generation(2);
    host.decisions().config_from_store(host.now);
    host.hear_notice("b1", "b", versions_with(2));
    std::vector<std::string> told;
    for (int i = 0; i < 4; ++i) {
        host.now += host_view::tick_interval;
        for (auto const& effect : host.decisions().tick({true, true, false}, host.now)) {
            auto const* const notice = std::get_if<change_notice>(&effect.message);
            if (notice != nullptr && notice->pass_on) {
                told.insert(told.end(), effect.ips.begin(), effect.ips.end());
            }
        }
    }
    ASSERT_EQ(told.size(), 1U);
    EXPECT_EQ(told[0].substr(0, 4), "ip-c");
}

TEST(replication, a_refused_pull_goes_to_the_next_host_at_once)
{
    replicating_host host("a0");
    host.hear_peer("a1", versions_with(2));
    host.hear_peer("a2", versions_with(2));
    auto const asked = host.pulls_within(milliseconds{1000});
    ASSERT_EQ(asked.size(), 1U);
    std::vector<std::string> next;
    replicating_host::append_pulls(next, host.on({asked[0], pull_kind::decisions}));
    ASSERT_EQ(next.size(), 1U);
    EXPECT_NE(next[0], asked[0]);
    EXPECT_TRUE(host.on({next[0], pull_kind::decisions}).empty()); // all have refused
}

// CONFIG: a list that was refused kept a configuration of the same host away for a second.
TEST(replication, a_refused_list_does_not_delay_a_configuration_of_the_same_host)
{
    replicating_host host("a0");
    host.hear_peer("a1", versions_with(1, 2));
    ASSERT_EQ(host.pulls_within(milliseconds{1000}).size(), 1U);
    host.on({ip_of("a1"), pull_kind::targets});
    host.hear_peer("a1", versions_with(2, 2));
    EXPECT_EQ(host.pulls_within(milliseconds{1000}).size(), 1U);
}

TEST(replication, an_unanswered_list_does_not_send_the_pull_of_a_configuration_to_another_zone)
{
    replicating_host host("a0");
    host.hear_peer("a1", versions_with(1, 2));
    ASSERT_EQ(host.pulls_within(milliseconds{1000}).size(), 1U);
    host.pulls_within(milliseconds{500}); // until it counts as unanswered
    host.hear_peer("a1", versions_with(2, 2));
    host.hear_zone("b", versions_with(2, 1));
    host.hear_notice("b0", "b", versions_with(2, 1));
    auto const asked = host.pulls_within(milliseconds{1000});
    EXPECT_FALSE(asked.empty());
    EXPECT_EQ(std::count(asked.begin(), asked.end(), ip_of("b0")), 0);
}

TEST(replication, refused_pulls_are_repeated_when_all_hosts_have_refused)
{
    replicating_host host("a0");
    host.hear_peer("a1", versions_with(2));
    ASSERT_EQ(host.pulls_within(milliseconds{1000}).size(), 1U);
    EXPECT_TRUE(host.on({ip_of("a1"), pull_kind::decisions}).empty());
    host.hear_peer("a1", versions_with(2));
    EXPECT_GE(host.pulls_within(milliseconds{1500}).size(), 1U);
}

TEST(replication, a_refusal_by_a_host_that_was_not_asked_is_ignored)
{
    replicating_host host("a0");
    host.hear_peer("a1", versions_with(2));
    EXPECT_TRUE(host.on({ip_of("a1"), pull_kind::decisions}).empty());
    EXPECT_EQ(host.pulls_within(milliseconds{1000}).size(), 1U);
}

TEST(replication, a_list_that_lags_is_answered_with_the_changes)
{
    replicating_host host("a0");
    host.decisions().targets_from_store(removal(1, 2), host.now);
    host.decisions().targets_from_store(removal(2, 3), host.now);
    host.copies.targets = position(3);
    pull_request request{ip_of("a1")};
    request.targets = true;
    request.targets_at = position(2);
    auto const out = host.decisions().on(request, host.now);
    auto const changes = messages<target_changes>(out);
    ASSERT_EQ(out.size(), 1U);
    ASSERT_EQ(changes.size(), 1U);
    ASSERT_EQ(changes[0]->changes.size(), 1U);
    EXPECT_EQ(changes[0]->changes[0].id, target_id("t3"));
    EXPECT_EQ(changes[0]->to, position(3));
}

TEST(replication, a_list_of_another_era_is_answered_with_the_whole_list)
{
    replicating_host host("a0");
    host.decisions().targets_from_store(removal(1, 2), host.now);
    host.copies.targets = position(2);
    pull_request request{ip_of("a1")};
    request.targets = true;
    request.targets_at = {store_era(2), revision(1)};
    auto const out = host.decisions().on(request, host.now);
    ASSERT_EQ(messages<host_snapshot>(out).size(), 1U);
    EXPECT_EQ(messages<host_snapshot>(out)[0]->targets->changed_at, position(2));
}

TEST(replication, positions_that_rise_without_a_change_are_not_reported)
{
    replicating_host host("a0", {true, true, false});
    host.copies.targets = position(9);
    host.decisions().targets_from_store({position(1), position(9), {}}, host.now);
    EXPECT_EQ(host.decisions().reported_versions().targets, position(1));
}

TEST(replication, what_was_pulled_from_another_zone_is_pushed_in_the_own_zone)
{
    replicating_host host("a0");
    host.hear_peer("a1", versions_with(1));
    host.hear_notice("b1", "b", versions_with(2));
    ASSERT_EQ(host.pulls_within(milliseconds{600}).size(), 1U);
    host.copies.config = generation(2);
    host_snapshot answer{packed_config{generation(2), "c"}, {}, {}, {}, ip_of("b1"), true};
    auto const out = host.decisions().config_from_peer(answer, host.now);
    ASSERT_EQ(messages<host_snapshot>(out).size(), 1U);
    EXPECT_EQ(messages<host_snapshot>(out)[0]->config->version, generation(2));
}

TEST(replication, a_follower_that_hears_of_a_change_before_its_watch_doubts_the_store)
{
    replicating_host host("a0", {true, true, false});
    host.hear_notice("b1", "b", versions_with(2));
    host.pulls_within(milliseconds{2000});
    EXPECT_EQ(host.doubts, 1);
}

RC_GTEST_PROP(change_log, gives_all_changes_after_a_position_or_none, ())
{
    change_log log;
    auto const begin = *rc::gen::inRange<std::uint64_t>(1, 5);
    log.restart(position(begin));
    std::uint64_t at = begin;
    std::vector<std::uint64_t> changed;
    auto const sizes = *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, 12));
    for (int const size : sizes) {
        target_changes changes{position(at), position(at + 1), {}};
        for (int i = 0; i < size; ++i) {
            changes.changes.push_back({target_id(std::to_string(at + 1)), std::nullopt});
            changed.push_back(at + 1);
        }
        log.add(changes);
        ++at;
    }
    RC_ASSERT(log.changed_at() == position(changed.empty() ? begin : changed.back()));
    auto const from = *rc::gen::inRange<std::uint64_t>(begin > 2 ? begin - 2 : 0, at + 1);
    auto const got = log.since(position(from), position(at));
    std::vector<std::uint64_t> wanted;
    std::copy_if(changed.begin(), changed.end(), std::back_inserter(wanted),
                 [from](std::uint64_t each) { return each > from; });
    if (!got) {
        RC_ASSERT(from < begin || wanted.size() > 200U);
        return;
    }
    RC_ASSERT(from >= begin);
    std::vector<std::uint64_t> ids;
    for (target_change const& change : got->changes) {
        ids.push_back(std::stoull(change.id.value));
    }
    RC_ASSERT(ids == wanted);
    RC_ASSERT(got->from == position(from));
    RC_ASSERT(got->to == position(at));
}

TEST(change_log, gives_nothing_across_eras_or_before_a_new_list)
{
    change_log log;
    log.restart(position(1));
    log.add(removal(1, 2));
    EXPECT_FALSE(log.since(position(1), {store_era(2), revision(1)}));
    log.restart(position(5));
    EXPECT_FALSE(log.since(position(2), position(5)));
    EXPECT_TRUE(log.since(position(5), position(6))->changes.empty());
}

TEST(choose_pull_source, prefers_the_own_zone_and_there_the_newest)
{
    random_engine random(1);
    std::vector<pull_source> const sources{{"b", versions_with(4), true},
                                           {"a1", versions_with(2), false},
                                           {"a2", versions_with(3), false}};
    for (int i = 0; i < 20; ++i) {
        EXPECT_EQ(choose_pull_source(sources, versions_with(1), random)->ip, "a2");
        EXPECT_EQ(choose_pull_source(sources, versions_with(3), random)->ip, "b");
        EXPECT_FALSE(choose_pull_source(sources, versions_with(4), random));
    }
}

TEST(choose_pull_source, takes_any_when_none_has_the_newest_of_all_kinds)
{
    random_engine random(1);
    std::vector<pull_source> const sources{{"a1", versions_with(2, 1, 1), false},
                                           {"a2", versions_with(1, 1, 2), false}};
    std::set<std::string> chosen;
    for (int i = 0; i < 50; ++i) {
        chosen.insert(choose_pull_source(sources, versions_with(1), random)->ip);
    }
    EXPECT_EQ(chosen.size(), 2U);
}

TEST(choose_pull_source, keeps_only_the_versions_of_a_kind)
{
    known_versions const all = versions_with(3, 4, 5);
    EXPECT_EQ(only(pull_kind::targets, all).targets, position(4));
    EXPECT_EQ(only(pull_kind::targets, all).config, generation{});
    EXPECT_EQ(only(pull_kind::targets, all).evacuations, store_position{});
    EXPECT_EQ(only(pull_kind::decisions, all).targets, store_position{});
    EXPECT_EQ(only(pull_kind::decisions, all).config, generation(3));
    EXPECT_EQ(only(pull_kind::decisions, all).evacuations, position(5));
}

TEST(byte_budget, urgent_messages_pass_before_others_and_are_limited_too)
{
    mono_time const start{seconds{10}};
    byte_budget budget(1000);
    EXPECT_TRUE(budget.take(1000, start));
    EXPECT_FALSE(budget.take(10, start));
    EXPECT_TRUE(budget.take_urgent(600, start));
    EXPECT_TRUE(budget.take_urgent(600, start));
    int passed = 0;
    while (budget.take_urgent(600, start)) {
        ++passed;
    }
    EXPECT_LE(passed, 3);
    EXPECT_FALSE(budget.take(10, start + milliseconds{1000})); // they count for the others
    EXPECT_TRUE(budget.take_urgent(600, start + milliseconds{1000}));
}

template <class Message>
Message round_trip(Message const& message)
{
    auto const out = decode_host_message(encode_host_message(message), "peer", era);
    EXPECT_TRUE(out);
    return std::get<Message>(*out);
}

TEST(peer_message, notices_and_refusals_keep_all_fields)
{
    change_notice const notice{"10.0.0.1", zone_id("a"), versions_with(3, 4, 5), true};
    change_notice const got = round_trip(notice);
    EXPECT_EQ(got.sender_ip, notice.sender_ip);
    EXPECT_EQ(got.zone, notice.zone);
    EXPECT_TRUE(got.changes.covers(notice.changes) && notice.changes.covers(got.changes));
    EXPECT_TRUE(got.pass_on);
    EXPECT_FALSE(round_trip(change_notice{"10.0.0.1", zone_id("a"), {}, false}).pass_on);
    for (pull_kind const kind : {pull_kind::decisions, pull_kind::targets}) {
        pull_refused const refused = round_trip(pull_refused{"10.0.0.2", kind});
        EXPECT_EQ(refused.sender_ip, "10.0.0.2");
        EXPECT_EQ(refused.kind, kind);
    }
}

TEST(peer_message, pulls_and_answers_keep_the_positions_of_changes)
{
    pull_request const request =
        round_trip(pull_request{"10.0.0.1", true, true, false, position(7)});
    EXPECT_EQ(request.targets_at, position(7));
    host_snapshot snapshot;
    snapshot.targets = target_snapshot{{}, position(9), {}, position(8)};
    snapshot.evacuations = evacuation_snapshot{{zone_id("a")}, position(6), position(5)};
    snapshot.sender_ip = "10.0.0.3";
    snapshot.answer = true;
    host_snapshot const got = round_trip(snapshot);
    EXPECT_EQ(got.targets->at, position(9));
    EXPECT_EQ(got.targets->changed_at, position(8));
    EXPECT_EQ(got.evacuations->at, position(6));
    EXPECT_EQ(got.evacuations->changed_at, position(5));
    EXPECT_EQ(got.sender_ip, "10.0.0.3");
    EXPECT_TRUE(got.answer);
}

TEST(peer_message, an_older_sender_names_no_positions_of_changes)
{
    pull_request const request = round_trip(pull_request{"10.0.0.1", false, true, false});
    EXPECT_EQ(request.targets_at.at, revision{});
    replicating_host host("a0");
    host.decisions().targets_from_store(removal(1, 2), host.now);
    auto const out = host.decisions().on(request, host.now);
    EXPECT_EQ(messages<host_snapshot>(out).size(), 1U); // the whole list
    host_snapshot snapshot;
    snapshot.targets = target_snapshot{{}, position(9)};
    snapshot.evacuations = evacuation_snapshot{{}, position(6)};
    host_snapshot const got = round_trip(snapshot);
    EXPECT_EQ(got.targets->changed_at.at, revision{});
    host.decisions().targets_from_peer(got);
    host.decisions().evacuations_from_peer(got, host.now);
    EXPECT_EQ(host.decisions().reported_versions().targets, position(9));
    EXPECT_EQ(host.decisions().reported_versions().evacuations, position(6));
}

} // namespace
} // namespace cove
