#include "directory/client_shares.h"

#include <algorithm>
#include <cmath>

namespace cove {

namespace {

/// Load of a zone relative to the mean of all that is still planned for; some room lets clients
/// move whole, so that their objects stay warm in one zone.
constexpr double highest_load = 1.05;
constexpr double negligible = 1e-6;

/** Cached answers move late and together, so only part of the cap is planned for. */
constexpr double planned_cap_share = 0.5;
constexpr double cap_window_s = 2;
constexpr seconds longest_step{2}; ///< time that counts between two moves

/**
 * @return the part of all traffic that each zone should carry: its part of the slots. Of several
 * services the scarcest counts.
 */
std::map<zone_id, double> fair_parts(std::vector<steered_zone> const& zones)
{
    std::map<service_id, double> totals;
    for (steered_zone const& zone : zones) {
        for (auto const& [service, slots] : zone.slots) {
            totals[service] += zone.usable ? slots : 0;
        }
    }
    std::map<zone_id, double> out;
    double sum = 0;
    for (steered_zone const& zone : zones) {
        double part = zone.usable ? 1 : 0;
        for (auto const& [service, total] : totals) {
            auto const own = zone.slots.find(service);
            if (total > 0) {
                part = std::min(part, own == zone.slots.end() ? 0 : own->second / total);
            }
        }
        out[zone.zone] = part;
        sum += part;
    }
    for (auto& [zone, part] : out) {
        part = sum > 0 ? part / sum : 0;
    }
    return out;
}

/** Divides the traffic of client zones among zones. */
class share_planner {
public:
    explicit share_planner(std::vector<steered_zone> const& zones)
        : zones_(zones), traffic_(1.0 / static_cast<double>(zones.size()))
    {
        for (auto const& [zone, part] : fair_parts(zones)) {
            spare_[zone] = highest_load * part;
        }
    }

    std::map<zone_id, zone_shares> plan()
    {
        std::map<zone_id, double> left;
        for (steered_zone const& zone : zones_) {
            double const home = std::min(1.0, spare_.at(zone.zone) / traffic_);
            left[zone.zone] = give(zone, zone.zone, home) ? 1 - home : 1;
        }
        for (steered_zone const& zone : zones_) {
            divide(zone, left.at(zone.zone));
        }
        return std::move(shares_);
    }

private:
    /** Gives @p part of the clients of @p from to @p to, if it bears them. */
    bool give(steered_zone const& from, zone_id const& to, double part)
    {
        if (spare_.at(to) + negligible < part * traffic_ || part <= negligible) {
            return false;
        }
        spare_.at(to) -= part * traffic_;
        shares_[from.zone][to] += part;
        return true;
    }

    /** @return zones in the order in which clients of @p from go there: nearer and emptier first.
     */
    [[nodiscard]] std::vector<zone_id> receivers(steered_zone const& from) const
    {
        std::vector<steered_zone const*> out;
        for (steered_zone const& zone : zones_) {
            if (spare_.at(zone.zone) > negligible) {
                out.push_back(&zone);
            }
        }
        std::sort(out.begin(), out.end(), [&](steered_zone const* a, steered_zone const* b) {
            auto const rank = [&](steered_zone const* z) {
                double const spare = spare_.at(z->zone);
                bool const far = z->region != from.region;
                return std::tuple(far, -spare, z->zone);
            };
            return rank(a) < rank(b);
        });
        std::vector<zone_id> names;
        for (steered_zone const* zone : out) {
            names.push_back(zone->zone);
        }
        return names;
    }

    /** Divides @p left of the clients of @p from among the zones that have room. */
    void divide(steered_zone const& from, double left)
    {
        for (zone_id const& to : receivers(from)) {
            double const part = std::min(left, spare_.at(to) / traffic_);
            if (give(from, to, part)) {
                left -= part;
            }
        }
        if (left > negligible) {
            for (auto const& [zone, part] : fair_parts(zones_)) {
                shares_[from.zone][zone] += left * part;
            }
        }
    }

    std::vector<steered_zone> const& zones_;
    double traffic_; ///< of one client zone, as a share of all
    std::map<zone_id, double> spare_;
    std::map<zone_id, zone_shares> shares_;
};

} // namespace

std::map<zone_id, zone_shares> wanted_shares(std::vector<steered_zone> const& zones)
{
    bool const none = std::none_of(zones.begin(), zones.end(), [](auto const& zone) {
        return zone.usable && !zone.slots.empty();
    });
    return none ? std::map<zone_id, zone_shares>{} : share_planner(zones).plan();
}

share_mover::share_mover(std::map<zone_id, region_id> regions, double cap, mono_time started)
    : regions_(std::move(regions)), cap_(cap), started_(started)
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
        if (current == shares_.end() || now < started_ + settle_time) {
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
