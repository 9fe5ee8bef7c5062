#include "directory/client_shares.h"

#include <algorithm>
#include <cmath>

namespace cove {

namespace {

constexpr double comfortable_load = 0.6; ///< of the slots; above it waits grow
constexpr double least_demand = 0.5;     ///< of the slots: what is prepared for before traffic comes
constexpr double negligible = 1e-6;

/** Cached answers move late and together, so only part of the cap is planned for. */
constexpr double planned_cap_share = 0.5;
constexpr double cap_window_s = 2;
constexpr seconds longest_step{2}; ///< time that counts between two moves

/** @return the share of all traffic that each zone can bear. */
std::map<zone_id, double> bearable(std::vector<steered_zone> const& zones)
{
    std::map<service_id, zone_capacity> totals;
    for (steered_zone const& zone : zones) {
        for (auto const& [service, capacity] : zone.services) {
            totals[service].slots += zone.usable ? capacity.slots : 0;
            totals[service].busy += capacity.busy;
        }
    }
    std::map<zone_id, double> out;
    for (steered_zone const& zone : zones) {
        double share = zone.usable ? 1 : 0;
        for (auto const& [service, total] : totals) {
            if (!zone.usable || total.slots <= 0) {
                continue;
            }
            auto const own = zone.services.find(service);
            double const slots = own == zone.services.end() ? 0 : own->second.slots;
            double const demand = std::max(total.busy, least_demand * total.slots);
            double const load = std::max(comfortable_load, demand / total.slots);
            share = std::min(share, load * slots / demand);
        }
        out[zone.zone] = share;
    }
    return out;
}

/** Zones in the order in which a client zone's excess goes to them. */
std::vector<steered_zone const*> receivers(std::vector<steered_zone> const& zones,
                                           steered_zone const& from,
                                           std::map<zone_id, double> const& spare)
{
    std::vector<steered_zone const*> out;
    for (steered_zone const& zone : zones) {
        if (zone.usable && zone.zone != from.zone) {
            out.push_back(&zone);
        }
    }
    std::sort(out.begin(), out.end(), [&](steered_zone const* a, steered_zone const* b) {
        auto const rank = [&](steered_zone const* z) {
            return std::tuple(z->region != from.region, -spare.at(z->zone), z->zone);
        };
        return rank(a) < rank(b);
    });
    return out;
}

} // namespace

std::map<zone_id, zone_shares> wanted_shares(std::vector<steered_zone> const& zones)
{
    std::map<zone_id, zone_shares> out;
    std::map<zone_id, double> const limits = bearable(zones);
    double total = 0;
    for (auto const& [zone, limit] : limits) {
        total += limit;
    }
    if (zones.empty() || total <= negligible) {
        return out;
    }
    double const traffic = 1.0 / static_cast<double>(zones.size()); // of each client zone
    double const stretch = std::max(1.0, 1.0 / total); // all bear more when together too little
    std::map<zone_id, double> spare;
    std::vector<std::pair<double, steered_zone const*>> excess;
    for (steered_zone const& zone : zones) {
        double const limit = limits.at(zone.zone) * stretch;
        double const home = std::min(traffic, limit);
        if (home > negligible) {
            out[zone.zone][zone.zone] = home / traffic;
        }
        spare[zone.zone] = limit - home;
        if (traffic - home > negligible) {
            excess.emplace_back(traffic - home, &zone);
        }
    }
    std::sort(excess.begin(), excess.end(), [](auto const& a, auto const& b) {
        return std::tuple(-a.first, a.second->zone) < std::tuple(-b.first, b.second->zone);
    });
    for (auto& [left, from] : excess) {
        for (steered_zone const* to : receivers(zones, *from, spare)) {
            double const moved = std::min(left, spare.at(to->zone));
            if (moved > negligible) {
                out[from->zone][to->zone] += moved / traffic;
                spare[to->zone] -= moved;
                left -= moved;
            }
        }
    }
    for (auto& [zone, shares] : out) {
        double sum = 0;
        for (auto const& [to, share] : shares) {
            sum += share;
        }
        for (auto& [to, share] : shares) {
            share /= sum;
        }
    }
    return out;
}

share_mover::share_mover(std::map<zone_id, region_id> regions, double cap)
    : regions_(std::move(regions)), cap_(cap)
{
}

std::map<region_id, double> share_mover::by_region(zone_shares const& shares) const
{
    std::map<region_id, double> out;
    for (auto const& [zone, share] : shares) {
        auto const region = regions_.find(zone);
        if (region != regions_.end()) {
            out[region->second] += share;
        }
    }
    return out;
}

zone_shares share_mover::stepped(zone_shares const& current, zone_shares const& wanted,
                                 double step) const
{
    auto from = by_region(current);
    auto to = by_region(wanted);
    for (auto const& [region, share] : from) {
        to.try_emplace(region, 0);
    }
    double distance = 0;
    for (auto const& [region, share] : to) {
        distance += std::abs(share - from[region]) / 2;
    }
    double const part = distance <= step ? 1 : step / distance;
    zone_shares out;
    for (auto const& [region, share] : to) {
        double const mass = from[region] + part * (share - from[region]);
        // Inside a region the wanted division holds at once; a region that is left keeps its own.
        zone_shares const& division = share > negligible ? wanted : current;
        double const whole = share > negligible ? share : from[region];
        for (auto const& [zone, zone_share] : division) {
            auto const its = regions_.find(zone);
            if (its != regions_.end() && its->second == region && whole > negligible) {
                out[zone] += mass * zone_share / whole;
            }
        }
    }
    std::erase_if(out, [](auto const& item) { return item.second <= negligible; });
    return out;
}

void share_mover::move(std::map<zone_id, zone_shares> const& wanted, mono_time now)
{
    using real_seconds = std::chrono::duration<double>;
    auto const passed = std::min<microseconds>(now - moved_at_, longest_step);
    double const step = planned_cap_share * cap_ * real_seconds(passed).count() / cap_window_s;
    moved_at_ = now;
    for (auto const& [zone, shares] : wanted) {
        auto const current = shares_.find(zone);
        if (current == shares_.end()) {
            shares_[zone] = shares;
        }
        else {
            current->second = stepped(current->second, shares, step);
        }
    }
}

zone_shares share_mover::shares_of(zone_id const& zone) const
{
    auto const found = shares_.find(zone);
    return found == shares_.end() ? zone_shares{} : found->second;
}

} // namespace cove
