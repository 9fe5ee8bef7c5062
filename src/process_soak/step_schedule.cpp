#include "process_soak/step_schedule.h"

#include "soak/random_source.h"

#include <algorithm>

namespace cove {

namespace {

constexpr milliseconds episode_min{6000};
constexpr milliseconds episode_max{8500};
constexpr milliseconds fault_min{600};
constexpr milliseconds fault_max{4500};
constexpr milliseconds change_delay_max{2600}; ///< of a change, after the fault beside it began
constexpr milliseconds evacuation_length{9000};
constexpr std::uint64_t second_fault_permille = 350;
constexpr std::uint64_t target_fault_permille = 300;
constexpr std::uint64_t evacuation_permille = 150;
constexpr std::uint64_t departure_permille = 350;

class schedule_maker {
public:
    schedule_maker(std::uint64_t seed, milliseconds duration, soak_shape const& shape)
        : random_(seed), duration_(duration), shape_(shape)
    {
    }

    std::vector<soak_step> make()
    {
        milliseconds at{1000};
        while (at + episode_max < duration_) {
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

    /** Faults of hosts and, soon after, changes that they must put into force. */
    void add_episode(milliseconds at)
    {
        add_host_fault(at);
        if (random_.permille(second_fault_permille)) {
            add_host_fault(at + between(milliseconds(0), fault_max));
        }
        if (random_.permille(target_fault_permille)) {
            add_target_fault(at);
        }
        auto const after = [&] { return at + between(milliseconds(0), change_delay_max); };
        bool const service = random_.one_in(2);
        if (service) {
            steps_.push_back({.at = after(), .kind = step_kind::change_service});
        }
        if (!service || random_.one_in(2)) {
            steps_.push_back({.at = after(), .kind = step_kind::change_home});
        }
        if (random_.one_in(3)) {
            steps_.push_back({.at = after(), .kind = step_kind::add_route});
        }
        if (random_.permille(departure_permille)) {
            steps_.push_back({.at = after(),
                              .kind = step_kind::retire_target,
                              .index = random_.below(shape_.targets)});
        }
        if (random_.permille(evacuation_permille) && at >= evacuation_end_) {
            milliseconds const begin = after();
            std::size_t const zone = random_.below(shape_.zones);
            evacuation_end_ = begin + evacuation_length;
            steps_.push_back({.at = begin, .kind = step_kind::evacuate_zone, .index = zone});
            steps_.push_back(
                {.at = evacuation_end_, .kind = step_kind::lift_evacuation, .index = zone});
        }
    }

    /** @return all hosts (often), the first one of each zone, those of one zone, or one host. */
    std::vector<std::size_t> pick_hosts()
    {
        std::vector<std::size_t> out;
        std::size_t const count = shape_.zones * shape_.hosts_per_zone;
        constexpr std::uint64_t groups = 6; // those from 3 on are all hosts
        std::uint64_t const group = random_.below(groups);
        std::size_t const chosen = random_.below(count);
        for (std::size_t host = 0; host < count; ++host) {
            if (group >= 3 || (group == 1 && host % shape_.hosts_per_zone == 0) ||
                (group == 2 && host / shape_.hosts_per_zone == chosen / shape_.hosts_per_zone) ||
                (group == 0 && host == chosen)) {
                out.push_back(host);
            }
        }
        return out;
    }

    void add_host_fault(milliseconds at)
    {
        static std::vector<link_fault> const faults{link_fault::delay,      link_fault::reset,
                                                    link_fault::refuse_new, link_fault::mute_all,
                                                    link_fault::mute_up,    link_fault::mute_down};
        milliseconds const end = at + between(fault_min, fault_max);
        std::size_t const one = random_.below(shape_.zones * shape_.hosts_per_zone);
        switch (random_.below(8)) {
        case 0:
            steps_.push_back({.at = at, .kind = step_kind::freeze_hosts, .hosts = {one}});
            steps_.push_back({.at = end, .kind = step_kind::resume_hosts, .hosts = {one}});
            break;
        case 1:
        case 2:
            steps_.push_back(
                {.at = at,
                 .kind = random_.one_in(2) ? step_kind::kill_hosts : step_kind::terminate_hosts,
                 .hosts = {one}});
            steps_.push_back({.at = end, .kind = step_kind::start_hosts, .hosts = {one}});
            break;
        case 3:
        case 4:
        case 5:
            steps_.push_back({.at = at,
                              .kind = step_kind::break_store_links,
                              .hosts = pick_hosts(),
                              .fault = link_fault::mute_open});
            break;
        default: {
            auto const hosts = pick_hosts();
            steps_.push_back({.at = at,
                              .kind = step_kind::break_store_links,
                              .hosts = hosts,
                              .fault = random_.pick(faults)});
            steps_.push_back({.at = end, .kind = step_kind::mend_store_links, .hosts = hosts});
        }
        }
    }

    void add_target_fault(milliseconds at)
    {
        static std::vector<link_fault> const faults{link_fault::delay, link_fault::reset,
                                                    link_fault::mute_open, link_fault::mute_all,
                                                    link_fault::refuse_new};
        std::size_t const target = random_.below(shape_.targets);
        steps_.push_back({.at = at,
                          .kind = step_kind::break_target_link,
                          .fault = random_.pick(faults),
                          .index = target});
        steps_.push_back({.at = at + between(fault_min, fault_max),
                          .kind = step_kind::mend_target_link,
                          .index = target});
    }

    random_source random_;
    milliseconds duration_;
    soak_shape shape_;
    milliseconds evacuation_end_{0};
    std::vector<soak_step> steps_;
};

} // namespace

char const* to_string(link_fault fault)
{
    switch (fault) {
    case link_fault::delay:
        return "delay";
    case link_fault::reset:
        return "reset";
    case link_fault::refuse_new:
        return "refuse_new";
    case link_fault::mute_open:
        return "mute_open";
    case link_fault::mute_all:
        return "mute_all";
    case link_fault::mute_up:
        return "mute_up";
    case link_fault::mute_down:
        return "mute_down";
    }
    return "unknown";
}

char const* to_string(step_kind kind)
{
    static constexpr char const* names[] = {
        "break_store_links", "mend_store_links",      "break_target_link",
        "mend_target_link",  "freeze_hosts",          "resume_hosts",
        "kill_hosts",        "terminate_hosts",       "start_hosts",
        "change_service",    "change_home",           "add_route",
        "drop_route",        "evacuate_zone",         "lift_evacuation",
        "retire_target",     "replace_listed_targets"};
    return names[static_cast<std::size_t>(kind)];
}

std::vector<soak_step> make_step_schedule(std::uint64_t seed, milliseconds duration,
                                          soak_shape const& shape)
{
    return schedule_maker(seed, duration, shape).make();
}

} // namespace cove
