#include "steering/zone_load.h"

#include <algorithm>

namespace cove {

std::vector<node_id> aggregators_of(node_view const& view, zone_id const& zone)
{
    auto live = live_members(view.members, zone, view.now.mono);
    live.resize(std::min(live.size(), aggregators_per_zone));
    return live;
}

void update_aggregators(aggregator_history& history, std::vector<node_id> const& current,
                        mono_time now)
{
    std::map<node_id, mono_time> since;
    for (node_id const& node : current) {
        auto const known = history.since.find(node);
        since[node] = known == history.since.end() ? now : known->second;
        history.former.erase(node);
    }
    for (auto const& [node, start] : history.since) {
        if (!since.contains(node)) {
            history.former[node] = now;
        }
    }
    history.since = std::move(since);
    std::erase_if(history.former, [&](auto const& item) {
        return now - item.second > grant_lifetime + grant_margin + report_lifetime;
    });
}

load_report report_for(aggregator_history const& history, std::vector<service_load> const& loads,
                       node_id const& aggregator, mono_time now)
{
    auto const parts = static_cast<int>(history.since.size() + history.former.size());
    auto const current = history.since.find(aggregator);
    bool const too_recent =
        current == history.since.end() ||
        now - current->second <= grant_lifetime + grant_margin + report_lifetime;
    bool const first = current == history.since.begin() && history.former.empty();
    load_report report{loads};
    for (service_load& load : report.services) {
        int const rest = first ? load.grantable % parts : 0;
        load.grantable = too_recent ? 0 : load.grantable / parts + rest;
    }
    return report;
}

void on_load_report(zone_reports& reports, node_view const& view, node_id const& from,
                    load_report const& report)
{
    auto const sender = view.members.members.find(from);
    if (sender != view.members.members.end() && sender->second.host.zone == view.self.zone) {
        reports.by_member[from] = {view.now.mono, report.services};
    }
}

std::vector<service_load> sum_reports(zone_reports const& reports, mono_time now)
{
    std::map<service_id, service_load> sums;
    for (auto const& [member, report] : reports.by_member) {
        if (now - report.at > report_lifetime) {
            continue;
        }
        for (service_load const& load : report.services) {
            service_load& sum = sums[load.service];
            sum.service = load.service;
            sum.slots += load.slots;
            sum.own += load.own;
            sum.foreign += load.foreign;
            sum.queued += load.queued;
            sum.grantable += load.grantable;
        }
    }
    std::vector<service_load> out;
    for (auto const& [id, sum] : sums) {
        out.push_back(sum);
    }
    return out;
}

service_load const* find_load(std::vector<service_load> const& loads, service_id const& service)
{
    auto const found = std::ranges::lower_bound(loads, service, {}, &service_load::service);
    return found == loads.end() || found->service != service ? nullptr : &*found;
}

} // namespace cove
