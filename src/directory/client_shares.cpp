#include "directory/client_shares.h"

#include <algorithm>
#include <cmath>

namespace cove {

namespace {

/// Maximum planned load of a zone relative to its share of the capacity. The margin above 1 allows
/// all clients of a zone to move together, which keeps their objects warm in a single zone.
constexpr double max_zone_load = 1.05;
constexpr double share_epsilon = 1e-6;

/// Clients cache look-up answers and so move late and at the same time; using only a part of the
/// cap leaves room for that.
constexpr double planned_cap_share = 0.5;
constexpr double cap_window_s = 2;  ///< the cap limits the change within this time
constexpr seconds max_step_time{2}; ///< upper bound on the time credited to one move

/**
 * @return the share of all traffic that each zone should carry, in proportion to its slots. With
 * several services, the one with the smallest share in the zone decides.
 */
std::map<zone_id, double> capacity_shares(std::vector<zone_capacity> const& zones)
{
    std::map<service_id, double> totals;
    for (zone_capacity const& zone : zones) {
        for (auto const& [service, slots] : zone.slots) {
            totals[service] += zone.usable ? slots : 0;
        }
    }
    std::map<zone_id, double> out;
    double sum = 0;
    for (zone_capacity const& zone : zones) {
        double share = zone.usable ? 1 : 0;
        for (auto const& [service, total] : totals) {
            auto const own = zone.slots.find(service);
            if (total > 0) {
                share = std::min(share, own == zone.slots.end() ? 0 : own->second / total);
            }
        }
        out[zone.zone] = share;
        sum += share;
    }
    for (auto& [zone, share] : out) {
        share = sum > 0 ? share / sum : 0;
    }
    return out;
}

/** Assigns the traffic of client zones to zones with spare capacity. */
class share_planner {
public:
    explicit share_planner(std::vector<zone_capacity> const& zones)
        : zones_(zones), client_zone_traffic_(1.0 / static_cast<double>(zones.size()))
    {
        for (auto const& [zone, share] : capacity_shares(zones)) {
            spare_capacity_[zone] = max_zone_load * share;
        }
    }

    std::map<zone_id, zone_shares> plan()
    {
        std::map<zone_id, double> unassigned;
        for (zone_capacity const& zone : zones_) {
            double const home_share =
                std::min(1.0, spare_capacity_.at(zone.zone) / client_zone_traffic_);
            unassigned[zone.zone] = assign(zone, zone.zone, home_share) ? 1 - home_share : 1;
        }
        for (zone_capacity const& zone : zones_) {
            distribute(zone, unassigned.at(zone.zone));
        }
        return std::move(shares_);
    }

private:
    /** Assigns @p share of the clients of @p from to @p to if it has enough spare capacity. */
    bool assign(zone_capacity const& from, zone_id const& to, double share)
    {
        if (spare_capacity_.at(to) + share_epsilon < share * client_zone_traffic_ ||
            share <= share_epsilon) {
            return false;
        }
        spare_capacity_.at(to) -= share * client_zone_traffic_;
        shares_[from.zone][to] += share;
        return true;
    }

    /**
     * @return zones with spare capacity for clients of @p from: the same region first, then by
     * decreasing spare capacity.
     */
    [[nodiscard]] std::vector<zone_id> candidate_zones(zone_capacity const& from) const
    {
        std::vector<zone_capacity const*> out;
        for (zone_capacity const& zone : zones_) {
            if (spare_capacity_.at(zone.zone) > share_epsilon) {
                out.push_back(&zone);
            }
        }
        std::sort(out.begin(), out.end(), [&](zone_capacity const* a, zone_capacity const* b) {
            auto const rank = [&](zone_capacity const* z) {
                double const spare = spare_capacity_.at(z->zone);
                bool const other_region = z->region != from.region;
                return std::tuple(other_region, -spare, z->zone);
            };
            return rank(a) < rank(b);
        });
        std::vector<zone_id> names;
        for (zone_capacity const* zone : out) {
            names.push_back(zone->zone);
        }
        return names;
    }

    /**
     * Distributes the share @p unassigned of the clients of @p from among zones with spare
     * capacity; what none can take is split in proportion to capacity.
     */
    void distribute(zone_capacity const& from, double unassigned)
    {
        for (zone_id const& to : candidate_zones(from)) {
            double const share =
                std::min(unassigned, spare_capacity_.at(to) / client_zone_traffic_);
            if (assign(from, to, share)) {
                unassigned -= share;
            }
        }
        if (unassigned > share_epsilon) {
            for (auto const& [zone, share] : capacity_shares(zones_)) {
                shares_[from.zone][zone] += unassigned * share;
            }
        }
    }

    std::vector<zone_capacity> const& zones_;
    double client_zone_traffic_; ///< as a share of the traffic of all zones
    std::map<zone_id, double> spare_capacity_;
    std::map<zone_id, zone_shares> shares_;
};

} // namespace

std::map<zone_id, zone_shares> plan_shares(std::vector<zone_capacity> const& zones)
{
    bool const none = std::none_of(zones.begin(), zones.end(), [](auto const& zone) {
        return zone.usable && !zone.slots.empty();
    });
    return none ? std::map<zone_id, zone_shares>{} : share_planner(zones).plan();
}

share_limiter::share_limiter(std::map<zone_id, region_id> regions, double cap, mono_time started)
    : regions_(std::move(regions)), cap_(cap), started_(started)
{
}

std::map<region_id, double> share_limiter::by_region(zone_shares const& shares) const
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

zone_shares share_limiter::step_towards(zone_shares const& current, zone_shares const& planned,
                                        double step) const
{
    auto from = by_region(current);
    auto to = by_region(planned);
    for (auto const& [region, share] : from) {
        to.try_emplace(region, 0);
    }
    double distance = 0;
    for (auto const& [region, share] : to) {
        distance += std::abs(share - from[region]) / 2;
    }
    double const progress = distance <= step ? 1 : step / distance;
    zone_shares out;
    for (auto const& [region, share] : to) {
        double const region_share = from[region] + progress * (share - from[region]);
        // Within a region the planned division applies at once, as the cap covers only changes of
        // region. A region that is being vacated keeps its current division.
        zone_shares const& division = share > share_epsilon ? planned : current;
        double const division_total = share > share_epsilon ? share : from[region];
        for (auto const& [zone, zone_share] : division) {
            auto const zone_region = regions_.find(zone);
            if (zone_region != regions_.end() && zone_region->second == region &&
                division_total > share_epsilon) {
                out[zone] += region_share * zone_share / division_total;
            }
        }
    }
    std::erase_if(out, [](auto const& item) { return item.second <= share_epsilon; });
    return out;
}

void share_limiter::move(std::map<zone_id, zone_shares> const& planned, mono_time now)
{
    using float_seconds = std::chrono::duration<double>;
    auto const passed = std::min<microseconds>(now - moved_at_, max_step_time);
    double const step = planned_cap_share * cap_ * float_seconds(passed).count() / cap_window_s;
    moved_at_ = now;
    for (auto const& [zone, shares] : planned) {
        auto const current = shares_.find(zone);
        if (current == shares_.end() || now < started_ + settle_time) {
            shares_[zone] = shares;
        }
        else {
            current->second = step_towards(current->second, shares, step);
        }
    }
}

zone_shares share_limiter::shares_of(zone_id const& zone) const
{
    auto const found = shares_.find(zone);
    return found == shares_.end() ? zone_shares{} : found->second;
}

} // namespace cove
