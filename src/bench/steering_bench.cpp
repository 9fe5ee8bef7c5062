/** @file steering-bench: cost of steering on one node; prints one JSON line per fleet size. */

#include "lookup/lookup_answer.h"
#include "net/peer_codec.h"
#include "node/lookup_publisher.h"

#include <iostream>
#include <nlohmann/json.hpp>

namespace {

using namespace cove;

constexpr int members_per_zone = 54;
constexpr int services_per_zone = 15;
constexpr int rounds = 200;
constexpr mono_time start{seconds(100)};

/** @return the mean elapsed time of a call of @p work, in microseconds. */
template <class Work>
double average_us(int count, Work work)
{
    auto const begin = std::chrono::steady_clock::now();
    for (int i = 0; i < count; ++i) {
        work(i);
    }
    std::chrono::duration<double, std::micro> const elapsed =
        std::chrono::steady_clock::now() - begin;
    return elapsed.count() / count;
}

service_id service_of(int zone, int number)
{
    return service_id{"service-" + std::to_string((zone + number * 7) % 100)};
}

/** Fills @p config and @p hosts with a fleet of @p zones zones in four regions. */
void declare(int zones, deployment& config, host_list& hosts)
{
    hosts.version = 1;
    for (int s = 0; s < 100; ++s) {
        config.services.push_back({service_id{"service-" + std::to_string(s)}, 6, 100, {}});
    }
    for (int z = 0; z < zones; ++z) {
        zone_id const zone{"zone-" + std::to_string(z)};
        config.zones.push_back({zone, region_id{"region-" + std::to_string(z % 4)}});
        for (int i = 0; i < members_per_zone; ++i) {
            hosts.entry_hosts.push_back({node_id{zone.value + "-" + std::to_string(i)}, zone,
                                         "10.0.0.1:80", "10.0.0.1:81"});
        }
        for (int i = 0; i < services_per_zone; ++i) {
            hosts.targets.push_back({target_id{zone.value + "-t" + std::to_string(i)},
                                     service_of(z, i), zone, "10.0.0.2:80"});
        }
    }
}

/** A node whose membership view includes all hosts of the fleet. */
struct bench_node {
    node_state state = make_node({node_id{"zone-0-0"}, zone_id{"zone-0"}, incarnation_id{1}}, 1);
    deployment config;

    explicit bench_node(int zones)
    {
        host_list hosts;
        declare(zones, config, hosts);
        apply_host_list(state.members, hosts);
        std::uint64_t next_incarnation = 1;
        for (entry_host const& host : hosts.entry_hosts) {
            member_update word;
            word.node = host.id;
            word.zone = host.zone;
            word.incarnation = incarnation_id{next_incarnation++};
            word.epoch = 1;
            word.sequence = 1;
            word.period = period_id{1};
            apply_member_update(state.members, word, start);
        }
    }

    node_view view(mono_time now)
    {
        return {{now, {}},    state.self,     &config,        state.members,
                state.random, state.disabled, &state.steering};
    }
};

load_report full_report()
{
    load_report report;
    for (int i = 0; i < services_per_zone; ++i) {
        report.services.push_back({service_of(0, i), 6, 3, 1, 0, 2});
    }
    std::ranges::sort(report.services, {}, &service_load::service);
    return report;
}

std::size_t bytes_of_message(peer_message message)
{
    return encode_envelope({node_id{"zone-0-0"}, incarnation_id{1}, std::move(message)}).size();
}

double grant_us(bench_node& node)
{
    grant_issuer issuer;
    auto const sequence_of = [](int i) { return static_cast<std::uint64_t>(i) + 1; };
    int const count = rounds * 50;
    return average_us(count, [&](int i) {
        node_id const holder{"zone-1-" + std::to_string(i % 1000)};
        issue_grant(issuer, {holder, incarnation_id{1}, service_of(0, 0)},
                    {sequence_of(i), service_of(0, 0), 2}, 3000, start + milliseconds(i));
        consume_link_budget(node.state.steering.links, node.view(start), zone_id{"zone-1"}, 100);
    });
}

double report_us(bench_node& node)
{
    load_report const report = full_report();
    node_effects effects;
    return average_us(rounds * members_per_zone, [&](int i) {
        on_steering_message(node.state.steering, node.view(start),
                            node_id{"zone-0-" + std::to_string(i % members_per_zone)},
                            incarnation_id{1}, report, effects);
    });
}

double wake_us(bench_node& node)
{
    return average_us(rounds, [&](int) {
        node_effects effects;
        node.state.steering.next_tick = start;
        on_steering_wake(node.state.steering, node.state.keeper, node.view(start), effects);
    });
}

lookup_snapshot snapshot_of(bench_node& node)
{
    node.state.config = std::make_shared<deployment const>(node.config);
    node_effects effects;
    publish_snapshot(node.state, {start, {}}, effects);
    return *node.state.published;
}

nlohmann::json measure(int zones)
{
    bench_node node(zones);
    double const first_wake = wake_us(node);
    double const report = report_us(node);
    double const wake = wake_us(node);
    auto const snapshot = snapshot_of(node);
    double const publish = average_us(rounds, [&](int) {
        node.state.next_publish = start;
        node_effects effects;
        publish_snapshot(node.state, {start, {}}, effects);
    });
    zone_id const own{"zone-0"};
    double const prepare = average_us(5, [&](int) { prepared_lookup const unused(snapshot, own); });
    prepared_lookup const lookup(snapshot, own);
    std::size_t bytes = 0;
    double const answer = average_us(rounds * 50, [&](int i) {
        bytes += lookup.answer(service_of(0, 0), std::to_string(i)).size();
    });
    double const choose = average_us(rounds * 50, [&](int) {
        choose_zone(node.state.steering, node.view(start), service_of(0, 0), 100);
    });
    return {{"zones", zones},
            {"entry_hosts", node.state.members.members.size()},
            {"targets", node.state.members.targets.size()},
            {"wake_without_reports_us", first_wake},
            {"wake_us", wake},
            {"report_us", report},
            {"grant_us", grant_us(node)},
            {"choose_zone_us", choose},
            {"publish_us", publish},
            {"prepare_lookup_us", prepare},
            {"lookup_answer_us", answer},
            {"snapshot_bytes", encode_snapshot(snapshot, node.state.self.id).size()},
            {"report_bytes", bytes_of_message(full_report())},
            {"summary_bytes",
             bytes_of_message(zone_summary{node.state.self.id, 1, full_report().services, {}})},
            {"grant_request_bytes", bytes_of_message(grant_request{1, service_of(0, 0), 2})},
            {"grant_answer_bytes",
             bytes_of_message(grant_answer{1, service_of(0, 0), 2, grant_lifetime, 5})}};
}

} // namespace

int main()
{
    for (int const zones : {11, 22, 44, 88}) {
        std::cout << measure(zones).dump() << '\n';
    }
    return 0;
}
