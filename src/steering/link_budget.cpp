#include "steering/link_budget.h"

#include "core/invariant.h"

#include <algorithm>

namespace cove {

namespace {

constexpr std::chrono::duration<double> burst{0.25}; ///< bucket size, as time at the full rate

double hosts_in_region(link_budget const& budget, node_view const& view, region_id const& region)
{
    double count = 0;
    for (auto const& [id, peer] : view.members.members) {
        auto const found = budget.region_of.find(peer.host.zone);
        count += found != budget.region_of.end() && found->second == region ? 1 : 0;
    }
    return std::max(count, 1.0);
}

void refill(token_bucket& bucket, mono_time now)
{
    std::chrono::duration<double> const passed = now - bucket.updated;
    double const capacity = bucket.bytes_per_second * burst.count();
    bucket.bytes = std::min(bucket.bytes + bucket.bytes_per_second * passed.count(), capacity);
    bucket.updated = now;
}

} // namespace

void refresh_link_budget(link_budget& budget, node_view const& view)
{
    if (budget.config == view.config && budget.list_version == view.members.list_version) {
        return;
    }
    budget.config = view.config;
    budget.list_version = view.members.list_version;
    budget.region_of.clear();
    for (zone_config const& zone : view.config->zones) {
        budget.region_of[zone.id] = zone.region;
    }
    budget.own_region = budget.region_of[view.self.zone];
    double const hosts = hosts_in_region(budget, view, budget.own_region);
    std::map<region_id, token_bucket> regions;
    for (link_config const& link : view.config->links) {
        if (link.from != budget.own_region && link.to != budget.own_region) {
            continue;
        }
        region_id const& other = link.from == budget.own_region ? link.to : link.from;
        token_bucket bucket = budget.regions[other];
        bucket.bytes_per_second = static_cast<double>(link.bytes_per_second) / hosts;
        regions[other] = bucket;
    }
    budget.regions = std::move(regions);
}

bool consume_link_budget(link_budget& budget, node_view const& view, zone_id const& to,
                         std::uint64_t bytes)
{
    auto const region = budget.region_of.find(to);
    if (region == budget.region_of.end()) {
        return false;
    }
    if (region->second == budget.own_region) {
        return true;
    }
    auto const found = budget.regions.find(region->second);
    if (found == budget.regions.end()) {
        return false;
    }
    token_bucket& bucket = found->second;
    refill(bucket, view.now.mono);
    double const size = static_cast<double>(bytes);
    if (size > bucket.bytes && !view.disabled.link_budget) {
        return false;
    }
    bucket.bytes -= size;
    require_invariant(bucket.bytes >= 0, "traffic between regions stays within the link budget");
    return true;
}

} // namespace cove
