#include "soak/fault_schedule.h"

namespace cove {

namespace {

constexpr milliseconds min_pause{100};     ///< shortest time between two faults
constexpr seconds max_pause{3};            ///< longest time between two faults
constexpr milliseconds min_fault_time{50}; ///< shortest downtime, degradation, cut or outage
constexpr seconds max_downtime{6};         ///< longest downtime or degradation
constexpr milliseconds min_freeze_time{50};
constexpr seconds max_freeze_time{8};
constexpr seconds leaving_time{10}; ///< for which a target stays leaving
constexpr seconds max_cut_time{8};  ///< longest cut or platform outage

} // namespace

fault_schedule::fault_schedule(scheduler& time, random_source& random, fleet& nodes,
                               fake_network& network, fake_targets& targets,
                               fake_platform& platform, std::vector<zone_id> zones,
                               soak_profile profile)
    : time_(time), random_(random), nodes_(nodes), network_(network), targets_(targets),
      platform_(platform), zones_(std::move(zones)), profile_(profile)
{
}

void fault_schedule::start()
{
    if (profile_ == soak_profile::all_faults) {
        network_.set_quality({5, 20, 10});
        platform_.set_max_lag(seconds(6));
    }
    time_.after(max_pause, [this] { inject(); });
}

void fault_schedule::inject()
{
    if (!injecting_) {
        return;
    }
    time_.after(random_.between(min_pause, max_pause), [this] { inject(); });
    switch (profile_) {
    case soak_profile::planned_stops:
        inject_planned_change();
        return;
    case soak_profile::node_faults:
        inject_node_fault();
        return;
    case soak_profile::all_faults:
        inject_any_fault();
        return;
    }
}

void fault_schedule::inject_planned_change()
{
    switch (random_.below(4)) {
    case 0:
    case 1:
        mark_target_leaving(random_.below(targets_.targets().size()));
        return;
    case 2:
        platform_.submit_conflicting_changes();
        return;
    default:
        stop_host(random_.below(nodes_.hosts().size()));
        return;
    }
}

void fault_schedule::inject_node_fault()
{
    std::size_t const host = random_.below(nodes_.hosts().size());
    switch (random_.below(5)) {
    case 0:
        kill_host(host);
        return;
    case 2:
        cut_pair();
        return;
    case 1:
        freeze_host(host);
        return;
    default:
        inject_planned_change();
        return;
    }
}

void fault_schedule::inject_any_fault()
{
    std::size_t const target = random_.below(targets_.targets().size());
    switch (random_.below(8)) {
    case 0:
        kill_target(target);
        return;
    case 1:
        degrade_target(target);
        return;
    case 2:
        cut_zones();
        return;
    case 3:
        start_platform_outage();
        return;
    case 4:
        mark_target_leaving(target);
        return;
    default:
        inject_node_fault();
        return;
    }
}

void fault_schedule::start_host_later(std::size_t host)
{
    time_.after(random_.between(min_fault_time, max_downtime), [this, host] {
        if (!nodes_.is_up(host)) {
            nodes_.start(host);
            platform_.send_initial_state(host);
        }
    });
}

void fault_schedule::stop_host(std::size_t host)
{
    nodes_.stop(host); // on_host_ended() restarts it
}

void fault_schedule::on_host_ended(std::size_t host)
{
    start_host_later(host);
}

void fault_schedule::kill_host(std::size_t host)
{
    nodes_.kill(host);
}

void fault_schedule::freeze_host(std::size_t host)
{
    if (nodes_.is_up(host)) {
        nodes_.freeze(host);
        time_.after(random_.between(min_freeze_time, max_freeze_time),
                    [this, host] { nodes_.unfreeze(host); });
    }
}

void fault_schedule::mark_target_leaving(std::size_t target)
{
    auto& one = targets_.targets()[target];
    if (one.listed.state == host_state::leaving) {
        return;
    }
    one.listed.state = host_state::leaving;
    platform_.publish_hosts();
    time_.after(leaving_time, [this, target] {
        auto& back = targets_.targets()[target];
        back.listed.state = host_state::live;
        back.leaving_known_since.reset();
        platform_.publish_hosts();
    });
}

void fault_schedule::kill_target(std::size_t target)
{
    targets_.kill(target);
    time_.after(random_.between(min_fault_time, max_downtime),
                [this, target] { targets_.targets()[target].down = false; });
}

void fault_schedule::degrade_target(std::size_t target)
{
    targets_.targets()[target].slowdown_factor = 20;
    targets_.targets()[target].lost_answer_permille = 200;
    time_.after(random_.between(min_fault_time, max_downtime), [this, target] {
        targets_.targets()[target].slowdown_factor = 1;
        targets_.targets()[target].lost_answer_permille = 0;
    });
}

void fault_schedule::cut_zones()
{
    zone_id const from = random_.pick(zones_);
    zone_id const to = random_.pick(zones_);
    if (from == to) {
        return;
    }
    network_.cut(from, to);
    if (random_.one_in(2)) {
        network_.cut(to, from);
    }
    time_.after(random_.between(min_fault_time, max_cut_time), [this] { network_.heal(); });
}

void fault_schedule::cut_pair()
{
    std::size_t const one = random_.below(nodes_.hosts().size());
    std::size_t const other = (one + 1) % nodes_.hosts().size();
    if (nodes_.hosts()[one].host_entry.zone == nodes_.hosts()[other].host_entry.zone) {
        network_.cut_pair(one, other);
        time_.after(random_.between(min_fault_time, max_cut_time), [this] { network_.heal(); });
    }
}

void fault_schedule::start_platform_outage()
{
    platform_.set_down(true);
    time_.after(random_.between(min_fault_time, max_cut_time),
                [this] { platform_.set_down(false); });
}

void fault_schedule::repair()
{
    injecting_ = false;
    network_.set_quality({});
    network_.heal();
    platform_.set_down(false);
    for (std::size_t host = 0; host < nodes_.hosts().size(); ++host) {
        nodes_.unfreeze(host);
    }
}

} // namespace cove
