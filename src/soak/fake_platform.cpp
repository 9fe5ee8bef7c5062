#include "soak/fake_platform.h"

namespace cove {

namespace {

/** Shortest time until an entry host sees a change; also the retry interval in an outage. */
constexpr milliseconds min_lag{20};

} // namespace

fake_platform::fake_platform(scheduler& time, random_source& random, fleet& nodes,
                             fake_targets& targets, deployment first)
    : time_(time), random_(random), nodes_(nodes), targets_(targets),
      hosts_(std::make_shared<host_list const>())
{
    config_history_.emplace(generation_, std::make_shared<deployment const>(std::move(first)));
}

void fake_platform::list_entry_host(std::size_t host, std::optional<host_state> state)
{
    listed_entry_hosts_.erase(host);
    if (state) {
        listed_entry_hosts_.emplace(host, *state);
    }
}

void fake_platform::publish_hosts()
{
    host_list next;
    next.version = hosts_->version + 1;
    for (auto const& [host, state] : listed_entry_hosts_) {
        next.entry_hosts.push_back(nodes_.hosts()[host].host_entry);
        next.entry_hosts.back().state = state;
    }
    for (fake_target const& target : targets_.targets()) {
        next.targets.push_back(target.listed);
    }
    hosts_ = std::make_shared<host_list const>(std::move(next));
    for (std::size_t host = 0; host < nodes_.hosts().size(); ++host) {
        send_hosts(host, random_.between(min_lag, max_lag_));
    }
}

void fake_platform::record_leaving(zone_id const& zone, host_list const& list)
{
    for (std::size_t i = 0; i < list.targets.size(); ++i) {
        fake_target& target = targets_.targets()[i];
        if (target.listed.zone == zone && target.listed.state == host_state::leaving &&
            list.targets[i].state == host_state::leaving && !target.leaving_known_since) {
            target.leaving_known_since = time_.now();
        }
    }
}

void fake_platform::send_hosts(std::size_t host, microseconds delay)
{
    time_.after(delay,
                [this, host, process_epoch = nodes_.hosts()[host].process_epoch, list = hosts_] {
                    if (down_) {
                        send_hosts(host, min_lag);
                        return;
                    }
                    if (nodes_.is_up(host) && !nodes_.hosts()[host].frozen) {
                        record_leaving(nodes_.hosts()[host].host_entry.zone, *list);
                    }
                    nodes_.deliver(host, process_epoch, host_list_changed{list});
                });
}

void fake_platform::send_config(std::size_t host, microseconds delay)
{
    time_.after(delay, [this, host, process_epoch = nodes_.hosts()[host].process_epoch,
                        number = generation_] {
        if (down_) {
            send_config(host, min_lag);
            return;
        }
        nodes_.deliver(host, process_epoch, config_changed{number, config_history_.at(number)});
    });
}

void fake_platform::send_initial_state(std::size_t host)
{
    send_hosts(host, min_lag);
    send_config(host, min_lag);
}

bool fake_platform::submit(generation expected, deployment change)
{
    if (down_ || expected != generation_) {
        return false;
    }
    ++generation_.value;
    config_history_.emplace(generation_, std::make_shared<deployment const>(std::move(change)));
    // At least one host receives the change from the platform.
    std::size_t const direct_receiver = random_.below(nodes_.hosts().size());
    for (std::size_t host = 0; host < nodes_.hosts().size(); ++host) {
        if (host != direct_receiver && !random_.one_in(3)) {
            continue; // must get the change from its peers
        }
        send_config(host, random_.between(min_lag, max_lag_));
        if (random_.one_in(4)) { // a stale read that arrives after the change
            time_.after(max_lag_, [this, host, process_epoch = nodes_.hosts()[host].process_epoch,
                                   old = config_history_.begin()->first] {
                nodes_.deliver(host, process_epoch, config_changed{old, config_history_.at(old)});
            });
        }
    }
    return true;
}

void fake_platform::submit_conflicting_changes()
{
    generation const expected = generation_;
    deployment change = *config_history_.at(expected);
    change.shift.cap = 0.05 + static_cast<double>(random_.below(10)) / 100;
    submit(expected, change);
    change.shift.cap += 0.01;
    submit(expected, change);
}

void fake_platform::set_down(bool down)
{
    down_ = down;
}

} // namespace cove
