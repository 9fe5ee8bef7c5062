#include "process_soak/step_schedule.h"
#include "soak/random_source.h"

#include <algorithm>
#include <map>

namespace cove {

namespace {

constexpr milliseconds first_episode{1000};
constexpr milliseconds episode_min{14'000};
constexpr milliseconds episode_max{16'000};
constexpr milliseconds blind_min{6000};
constexpr milliseconds blind_max{9000};
constexpr milliseconds first_change_max{2500}; ///< after the hosts went blind
constexpr milliseconds change_interval{1500};
constexpr milliseconds list_lead_max{300}; ///< of a change of the list, before one of the routes
constexpr milliseconds freeze_min{1000};
constexpr milliseconds freeze_max{2000};
constexpr milliseconds restart_min{1000};
constexpr milliseconds restart_max{4000};
constexpr milliseconds evacuation_length{9000};
constexpr std::size_t followers_per_zone = 2;
constexpr std::uint64_t blind_share_permille = 350;
constexpr std::uint64_t stop_permille = 400; ///< of the episodes, for each way to stop a host

class blind_schedule_maker {
public:
    blind_schedule_maker(std::uint64_t seed, milliseconds duration, soak_shape const& shape,
                         schedule_kind kind)
        : random_(seed), duration_(duration), shape_(shape), kind_(kind)
    {
    }

    std::vector<soak_step> make()
    {
        milliseconds at = first_episode;
        while (at + episode_min <= duration_) {
            add_episode(at);
            at += between(episode_min, episode_max);
        }
        std::stable_sort(steps_.begin(), steps_.end(),
                         [](soak_step const& a, soak_step const& b) { return a.at < b.at; });
        return std::move(steps_);
    }

private:
    milliseconds between(milliseconds low, milliseconds high)
    {
        return std::chrono::duration_cast<milliseconds>(random_.between(low, high));
    }

    [[nodiscard]] std::size_t host_count() const { return shape_.zones * shape_.hosts_per_zone; }

    void add_episode(milliseconds at)
    {
        static std::vector<link_fault> const faults{link_fault::mute_open, link_fault::mute_all,
                                                    link_fault::mute_all, link_fault::mute_down};
        auto const hosts = pick_blind_hosts();
        steps_.push_back({.at = at,
                          .kind = step_kind::break_store_links,
                          .hosts = hosts,
                          .fault = random_.pick(faults)});
        steps_.push_back({.at = at + between(blind_min, blind_max),
                          .kind = step_kind::mend_store_links,
                          .hosts = hosts});
        milliseconds const change = at + between(milliseconds(0), first_change_max);
        add_changes(change);
        add_stops(at, hosts);
        if (random_.one_in(2)) {
            steps_.push_back({.at = change + between(milliseconds(0), change_interval),
                              .kind = step_kind::retire_target,
                              .index = random_.below(shape_.targets)});
        }
        if (random_.one_in(3)) {
            std::size_t const zone = random_.below(shape_.zones);
            steps_.push_back({.at = change, .kind = step_kind::evacuate_zone, .index = zone});
            steps_.push_back({.at = change + evacuation_length,
                              .kind = step_kind::lift_evacuation,
                              .index = zone});
        }
    }

    std::vector<std::size_t> pick_blind_hosts()
    {
        std::vector<std::size_t> out;
        std::size_t const first = random_.below(shape_.zones) * shape_.hosts_per_zone;
        std::size_t const count = kind_ == schedule_kind::blind_zone
                                      ? shape_.hosts_per_zone
                                      : std::min(followers_per_zone, shape_.hosts_per_zone);
        for (std::size_t host = 0; host < host_count(); ++host) {
            bool const blind = kind_ == schedule_kind::blind_share
                                   ? random_.permille(blind_share_permille)
                                   : host >= first && host < first + count;
            if (blind) {
                out.push_back(host);
            }
        }
        return out;
    }

    /** A route that is added, other services, other homes and a dropped route, in random order. */
    void add_changes(milliseconds at)
    {
        std::vector<step_kind> kinds{step_kind::change_service, step_kind::change_home,
                                     step_kind::add_route, step_kind::drop_route};
        while (!kinds.empty()) {
            std::size_t const chosen = random_.below(kinds.size());
            steps_.push_back({.at = at, .kind = kinds[chosen]});
            kinds.erase(kinds.begin() + static_cast<std::ptrdiff_t>(chosen));
            if (shape_.listed_targets != 0) {
                steps_.push_back({.at = at - between(milliseconds(0), list_lead_max),
                                  .kind = step_kind::replace_listed_targets});
            }
            at += change_interval;
        }
    }

    /** Stops of hosts that are not blind; each host is in one of them at most. */
    void add_stops(milliseconds at, std::vector<std::size_t> const& blind)
    {
        std::vector<std::size_t> free;
        for (std::size_t host = 0; host < host_count(); ++host) {
            if (std::find(blind.begin(), blind.end(), host) == blind.end()) {
                free.push_back(host);
            }
        }
        auto const add = [&](step_kind stop, step_kind go, milliseconds low, milliseconds high) {
            if (free.empty() || !random_.permille(stop_permille)) {
                return;
            }
            std::size_t const chosen = random_.below(free.size());
            std::vector<std::size_t> const host{free[chosen]};
            free.erase(free.begin() + static_cast<std::ptrdiff_t>(chosen));
            milliseconds const begin = at + between(milliseconds(0), blind_min);
            steps_.push_back({.at = begin, .kind = stop, .hosts = host});
            steps_.push_back({.at = begin + between(low, high), .kind = go, .hosts = host});
        };
        add(step_kind::freeze_hosts, step_kind::resume_hosts, freeze_min, freeze_max);
        add(step_kind::freeze_hosts, step_kind::resume_hosts, freeze_min, freeze_max);
        add(step_kind::terminate_hosts, step_kind::start_hosts, restart_min, restart_max);
        add(step_kind::kill_hosts, step_kind::start_hosts, restart_min, restart_max);
    }

    random_source random_;
    milliseconds duration_;
    soak_shape shape_;
    schedule_kind kind_;
    std::vector<soak_step> steps_;
};

} // namespace

std::optional<schedule_kind> schedule_kind_of(std::string const& name)
{
    static std::map<std::string, schedule_kind> const kinds{
        {"mixed", schedule_kind::mixed},
        {"blind-followers", schedule_kind::blind_followers},
        {"blind-share", schedule_kind::blind_share},
        {"blind-zone", schedule_kind::blind_zone}};
    auto const found = kinds.find(name);
    return found == kinds.end() ? std::nullopt : std::optional(found->second);
}

std::vector<soak_step> make_blind_schedule(std::uint64_t seed, milliseconds duration,
                                           soak_shape const& shape, schedule_kind kind)
{
    return blind_schedule_maker(seed, duration, shape, kind).make();
}

} // namespace cove
