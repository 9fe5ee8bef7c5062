#include "soak/fake_platform.h"

namespace cove {

namespace {

constexpr milliseconds shortest_lag{20}; ///< least time until an entry host sees a change

} // namespace

fake_platform::fake_platform(scheduler& time, chance& random, fleet& nodes, fake_targets& targets,
                             deployment first)
    : time_(time), random_(random), nodes_(nodes), targets_(targets),
      hosts_(std::make_shared<host_list const>())
{
    written_.emplace(generation_, std::make_shared<deployment const>(std::move(first)));
}

void fake_platform::list_entry_host(std::size_t host, std::optional<host_state> state)
{
    listed_.erase(host);
    if (state) {
        listed_.emplace(host, *state);
    }
}

void fake_platform::publish_hosts()
{
    host_list next;
    next.version = hosts_->version + 1;
    for (auto const& [host, state] : listed_) {
        next.entry_hosts.push_back(nodes_.hosts()[host].listed);
        next.entry_hosts.back().state = state;
    }
    for (fake_target const& target : targets_.targets()) {
        next.targets.push_back(target.listed);
    }
    hosts_ = std::make_shared<host_list const>(std::move(next));
    for (std::size_t host = 0; host < nodes_.hosts().size(); ++host) {
        send_hosts(host, random_.between(shortest_lag, longest_lag_));
    }
}

void fake_platform::note_leaving(zone_id const& zone, host_list const& list)
{
    for (std::size_t i = 0; i < list.targets.size(); ++i) {
        fake_target& target = targets_.targets()[i];
        if (target.listed.zone == zone && target.listed.state == host_state::leaving &&
            list.targets[i].state == host_state::leaving && !target.leaving_known) {
            target.leaving_known = time_.now();
        }
    }
}

void fake_platform::send_hosts(std::size_t host, microseconds delay)
{
    time_.after(delay, [this, host, life = nodes_.hosts()[host].life, list = hosts_] {
        if (down_) {
            send_hosts(host, shortest_lag);
            return;
        }
        if (nodes_.is_up(host) && !nodes_.hosts()[host].frozen) {
            note_leaving(nodes_.hosts()[host].listed.zone, *list);
        }
        nodes_.deliver(host, life, host_list_changed{list});
    });
}

void fake_platform::send_config(std::size_t host, microseconds delay)
{
    time_.after(delay, [this, host, life = nodes_.hosts()[host].life, number = generation_] {
        if (down_) {
            send_config(host, shortest_lag);
            return;
        }
        nodes_.deliver(host, life, config_changed{number, written_.at(number)});
    });
}

void fake_platform::greet(std::size_t host)
{
    send_hosts(host, shortest_lag);
    send_config(host, shortest_lag);
}

bool fake_platform::submit(generation seen, deployment change)
{
    if (down_ || seen != generation_) {
        return false;
    }
    ++generation_.value;
    written_.emplace(generation_, std::make_shared<deployment const>(std::move(change)));
    std::size_t const reached = random_.below(nodes_.hosts().size()); // always receives the change
    for (std::size_t host = 0; host < nodes_.hosts().size(); ++host) {
        if (host != reached && !random_.one_in(3)) {
            continue; // has to receive the change from its peers
        }
        send_config(host, random_.between(shortest_lag, longest_lag_));
        if (random_.one_in(4)) { // a stale read arrives after the change
            time_.after(longest_lag_, [this, host, life = nodes_.hosts()[host].life,
                                       old = written_.begin()->first] {
                nodes_.deliver(host, life, config_changed{old, written_.at(old)});
            });
        }
    }
    return true;
}

void fake_platform::submit_twice()
{
    generation const seen = generation_;
    deployment change = *written_.at(seen);
    change.shift.cap = 0.05 + static_cast<double>(random_.below(10)) / 100;
    submit(seen, change);
    change.shift.cap += 0.01;
    submit(seen, change);
}

void fake_platform::set_down(bool down)
{
    down_ = down;
}

} // namespace cove
