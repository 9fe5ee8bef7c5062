#include "core/invariant.h"
#include "support/small_cluster.h"

#include <gtest/gtest.h>

namespace {

using namespace cove_test;

enum class component { home, relay, keeper, target };
enum class fault { none, kill, restart, freeze_briefly, freeze_long, cut_briefly, cut_long, shed };

struct fault_case {
    component failing;
    fault kind;
    milliseconds at;                  ///< after the first request
    std::vector<microseconds> copies; ///< delays of extra copies of every message
    int targets = 1;
    milliseconds hand_over_delay{};
};

struct roles {
    node_id home;
    node_id relay;
    node_id keeper;
};

roles assign_roles(small_cluster const& cluster)
{
    auto const live =
        live_members(cluster.nodes.begin()->second.members, zone_id{"z"}, cluster.now.mono);
    roles out;
    out.keeper = *keeper_of(target_id{"t1"}, live);
    for (node_id const& id : live) {
        if (id != out.keeper) {
            (out.home.value.empty() ? out.home : out.relay) = id;
        }
    }
    return out;
}

void apply_target_fault(small_cluster& cluster, fault kind)
{
    if (kind == fault::kill) {
        cluster.target = [](call_target const& call) {
            return call_result{call.key, call_verdict::broken, 0, nullptr, "reset"};
        };
    }
    else if (kind == fault::shed) {
        cluster.target = [](call_target const& call) {
            return call_result{call.key, call_verdict::not_started, 503, nullptr, "busy"};
        };
    }
    else {
        cluster.targets_hang = true;
    }
}

void apply_fault(small_cluster& cluster, node_id const& node, fault kind)
{
    switch (kind) {
    case fault::kill:
        cluster.dead.insert(node);
        break;
    case fault::restart:
        cluster.start_node(node);
        break;
    case fault::freeze_briefly:
    case fault::freeze_long:
        cluster.frozen.insert(node);
        break;
    case fault::cut_briefly:
    case fault::cut_long:
        cluster.cut.insert(node);
        break;
    case fault::none:
    case fault::shed:
        break;
    }
}

milliseconds length_of(fault kind)
{
    return kind == fault::freeze_briefly || kind == fault::cut_briefly ? milliseconds(300)
                                                                       : milliseconds(4000);
}

/** @return how the answers violate at-most-once execution, or an empty string. */
std::string find_violation(small_cluster const& cluster, operation_id const& id)
{
    auto const found = cluster.start_counts.find(id);
    int const starts = found == cluster.start_counts.end() ? 0 : found->second;
    if (starts > 1) {
        return "started " + std::to_string(starts) + " times";
    }
    for (auto const& [key, answers] : cluster.answers) {
        if (answers.size() != 1) {
            return "request answered " + std::to_string(answers.size()) + " times";
        }
        if (answers[0].result == outcome::not_run && starts != 0) {
            return "not_run but started, " + answers[0].reason;
        }
        if (answers[0].result == outcome::done &&
            (starts != 1 || bytes_of(answers[0].body) != "body")) {
            return "done without the target's answer";
        }
    }
    return {};
}

struct run_result {
    std::string violation;
    std::map<outcome, int> outcomes;
};

/** Sends a request to the relay, injects one fault and then repeats the request on every host. */
run_result run_case(fault_case const& one, disabled_mechanisms const& disabled)
{
    small_cluster cluster(3, one.targets);
    cluster.hand_over_delay = one.hand_over_delay;
    cluster.disabled = disabled;
    run_result out;
    try {
        cluster.start();
        roles const assigned = assign_roles(cluster);
        node_id const faulty_host = one.failing == component::home    ? assigned.home
                                    : one.failing == component::relay ? assigned.relay
                                                                      : assigned.keeper;
        cluster.duplicate_delays = one.copies;
        operation_id const id = cluster.new_id(assigned.home);
        std::map<request_key, node_id> sent{
            {cluster.send_request(assigned.relay, id), assigned.relay}};
        cluster.run(one.at);
        one.failing == component::target ? apply_target_fault(cluster, one.kind)
                                         : apply_fault(cluster, faulty_host, one.kind);
        cluster.run(length_of(one.kind));
        cluster.cut.clear();
        cluster.unfreeze(faulty_host);
        for (node_id const& entry : {assigned.home, assigned.keeper, assigned.relay}) {
            sent.emplace(cluster.send_request(entry, id), entry);
            cluster.run(milliseconds(700));
        }
        cluster.run(seconds(4));
        out.violation = find_violation(cluster, id);
        for (auto const& [key, entry] : sent) {
            bool const lost_host = one.failing != component::target && entry == faulty_host &&
                                   (one.kind == fault::kill || one.kind == fault::restart);
            if (!lost_host && !cluster.answers.contains(key)) {
                out.violation += " a request was never answered";
            }
        }
        for (auto const& [key, answers] : cluster.answers) {
            ++out.outcomes[answers[0].result];
        }
    }
    catch (invariant_violation const& error) {
        out.violation = error.what();
    }
    return out;
}

std::vector<fault_case> all_cases()
{
    std::vector<fault_case> cases;
    std::vector<std::vector<microseconds>> const copies{
        {}, {milliseconds(30)}, {milliseconds(0), milliseconds(2000)}};
    for (component const failing :
         {component::home, component::relay, component::keeper, component::target}) {
        for (fault const kind :
             {fault::none, fault::kill, fault::restart, fault::freeze_briefly, fault::freeze_long,
              fault::cut_briefly, fault::cut_long, fault::shed}) {
            for (int at = 0; at <= 120; at += 10) {
                for (auto const& each : copies) {
                    cases.push_back(
                        {failing, kind, milliseconds(at), each, 1 + at / 10 % 2 * 3, {}});
                }
            }
        }
    }
    for (int delay = 600; delay <= 1200; delay += 20) {
        cases.push_back({component::target, fault::none, {}, {}, 1, milliseconds(delay)});
    }
    return cases;
}

int count_violations(disabled_mechanisms const& disabled)
{
    int violations = 0;
    for (fault_case const& one : all_cases()) {
        violations += run_case(one, disabled).violation.empty() ? 0 : 1;
    }
    return violations;
}

TEST(at_most_once, holds_for_every_component_fault_and_step)
{
    std::map<outcome, int> outcomes;
    for (fault_case const& one : all_cases()) {
        auto const result = run_case(one, {});
        EXPECT_EQ(result.violation, "") << "component " << static_cast<int>(one.failing)
                                        << " fault " << static_cast<int>(one.kind) << " at "
                                        << one.at.count() << " ms, copies " << one.copies.size();
        for (auto const& [what, count] : result.outcomes) {
            outcomes[what] += count;
        }
    }
    for (auto const& [what, count] : outcomes) {
        RecordProperty(to_string(what), count);
        std::cout << "outcome=" << to_string(what) << " answers=" << count << "\n";
    }
    EXPECT_EQ(outcomes.size(), 3U) << "the cases must cover every outcome";
}

TEST(at_most_once, fails_without_its_mechanisms)
{
    for (auto const field :
         {&disabled_mechanisms::joining_repeats, &disabled_mechanisms::retry_after_send_check,
          &disabled_mechanisms::timeout_confirmation,
          &disabled_mechanisms::cancel_prevents_start}) {
        disabled_mechanisms disabled;
        disabled.*field = true;
        int const violations = count_violations(disabled);
        std::cout << "wrong=" << violations << "\n";
        EXPECT_GT(violations, 0);
    }
}

} // namespace
