#pragma once
/** @file Simulated hosts that share quotas over a network which delays, loses and repeats. */

#include "core/hash_func.h"
#include "peer/host_view.h"
#include "quota/quota_claims.h"
#include "quota/quota_limiter.h"

#include <deque>
#include <memory>

namespace cove {

inline workspace_id const customer{"customer"};

struct sim_host {
    host_view view;
    quota_claims claims;
    quota_limiter limiter;
    std::string zone;
    workspace_limit limit;
    mono_time next_tick;
    double rate = 0; ///< requests per second that clients send
    double due = 0;  ///< part of a request that has accumulated
    bool paused = false;
    std::vector<std::pair<gossip, mono_time>> unread; ///< arrived while it was paused
};

class quota_fleet {
public:
    explicit quota_fleet(std::uint64_t seed, workspace_limit limit) : random(seed), limit_(limit) {}

    void add(std::string const& name)
    {
        std::string const zone = name.substr(0, 1);
        host_report self;
        self.name = node_id(name);
        self.zone = zone_id(zone);
        self.ip = name;
        self.client_address = "10.0.0.1:80";
        self.incarnation = host_incarnation(++incarnations_);
        self.ready = true;
        hosts.erase(name);
        auto const phase = milliseconds(random_below(random, 250));
        auto host = std::make_unique<sim_host>(sim_host{
            host_view(self, random()),
            quota_claims({self.name, self.zone, {zone_id("a"), zone_id("b"), zone_id("c")}},
                         settings, now),
            quota_limiter(settings, stable_hash(name)), zone, limit_, now + phase});
        host->view.add_seed("a1");
        host->view.add_seed("b1");
        for (auto const& [other, known] : hosts) {
            host->view.add_contact(node_id(other), known->view.zone_hosts(now).front()->zone, other,
                                   now);
        }
        host->view.add_seed(zone + "1");
        hosts[name] = std::move(host);
        configure(name);
    }

    /** Puts the current limit in force at a host. */
    void configure(std::string const& name)
    {
        sim_host& host = *hosts.at(name);
        host.limit = limit_;
        workspace_limits const limits{{customer, limit_}};
        host.claims.set_limits(limits);
        host.limiter.set_limits(limits, now);
        host.limiter.set_claim(customer, host.claims.claim(customer),
                               host.claims.within_limit(customer), now);
    }

    void set_limit(workspace_limit limit) { limit_ = limit; }

    void kill(std::string const& name) { hosts.erase(name); }

    void resume(std::string const& name)
    {
        sim_host& host = *hosts.at(name);
        host.paused = false;
        host.next_tick = now; // a late timer runs before the sockets are read
    }

    [[nodiscard]] double claims() const
    {
        double sum = 0;
        for (auto const& [name, host] : hosts) {
            sum += host->limiter.claim(customer, now);
        }
        return sum;
    }

    [[nodiscard]] workspace_limit highest_limit() const
    {
        workspace_limit out = limit_;
        for (auto const& [name, host] : hosts) {
            out.rate = std::max(out.rate, host->limit.rate);
            out.burst = std::max(out.burst, host->limit.burst);
        }
        return out;
    }

    void step()
    {
        now += step_time;
        while (!network_.empty() && network_.begin()->first <= now) {
            auto const [to, message] = network_.begin()->second;
            network_.erase(network_.begin());
            receive(to, message);
        }
        for (auto& [name, host] : hosts) {
            if (host->paused) {
                continue;
            }
            request(*host);
            if (now >= host->next_tick) {
                tick(name, *host);
            }
            for (auto const& [message, at] : std::exchange(host->unread, {})) {
                receive(name, message);
            }
        }
        count_window();
    }

    /** @return requests in the last window, as a share of what the limits in force in it allow. */
    [[nodiscard]] double window_share() const
    {
        workspace_limit highest;
        for (auto const& [at, limit] : limits_) {
            highest.rate = std::max(highest.rate, limit.rate);
            highest.burst = std::max(highest.burst, limit.burst);
        }
        double const seconds = std::chrono::duration<double>(settings.window).count();
        double const due = seconds * highest.rate + highest.burst;
        return static_cast<double>(window.size()) / (due * (1 + settings.overage) + settings.slack);
    }

    static constexpr milliseconds step_time{10};
    quota_settings settings{milliseconds{5000}, 0.1, 20};
    std::map<std::string, std::unique_ptr<sim_host>> hosts;
    std::set<std::string> cut; ///< names of hosts or zones without links to the others
    double loss = 0;
    milliseconds delay_max{100};
    mono_time now{seconds{100}};
    random_engine random;
    std::deque<mono_time> window; ///< requests admitted in the last window
    std::uint64_t admitted = 0;
    std::size_t quota_bytes = 0; ///< of entries sent, about

private:
    [[nodiscard]] bool linked(std::string const& from, std::string const& to) const
    {
        auto const side = [this](std::string const& name) {
            return cut.contains(name) || cut.contains(name.substr(0, 1));
        };
        return side(from) == side(to);
    }

    [[nodiscard]] bool chance(double share)
    {
        return static_cast<double>(random_below(random, 10'000)) < share * 10'000;
    }

    void send(std::string const& from, host_effects const& effects)
    {
        for (outgoing_host_message const& effect : effects) {
            auto const& message = std::get<gossip>(effect.message);
            for (std::string const& ip : effect.ips) {
                for (host_report const& report : message.reports) {
                    quota_bytes += report.quota_demands.size() * 14;
                }
                for (int copies = chance(loss) ? 2 : 1; linked(from, ip) && copies > 0; --copies) {
                    if (!chance(loss)) {
                        auto const delay = milliseconds(random_below(random, delay_max.count()));
                        network_.emplace(now + delay, std::pair(ip, message));
                    }
                }
            }
        }
    }

    void receive(std::string const& to, gossip const& message)
    {
        auto const found = hosts.find(to);
        if (found == hosts.end()) {
            return;
        }
        if (found->second->paused) {
            found->second->unread.emplace_back(message, now);
            return;
        }
        for (host_report const& report : message.reports) {
            found->second->claims.hear(report, now);
        }
        send(to, found->second->view.receive(message, now));
    }

    void tick(std::string const& name, sim_host& host)
    {
        host.next_tick = now + host_view::tick_interval;
        for (zone_status const& status : host.view.zones(now)) {
            host.claims.hear(status, now);
        }
        for (node_id const& peer : host.view.starting_zone_peers(now)) {
            host.claims.expect(peer, now);
        }
        host.claims.tick({[&](workspace_id const& id) { return host.limiter.demand(id, now); },
                          host_view::tick_interval, false},
                         now);
        host.limiter.set_claim(customer, host.claims.claim(customer),
                               host.claims.within_limit(customer), now);
        host.limiter.set_hosts(host.claims.known_hosts());
        local_host_state own;
        own.ready = true;
        own.quota_demands = host.claims.report_entries();
        own.zone_quota_demands = host.claims.status_entries();
        send(name, host.view.tick(own, now));
    }

    void request(sim_host& host)
    {
        host.due += host.rate * std::chrono::duration<double>(step_time).count();
        for (; host.due >= 1; host.due -= 1) {
            if (host.limiter.take(customer, now).admitted) {
                window.push_back(now);
                ++admitted;
            }
        }
    }

    void count_window()
    {
        while (!window.empty() && window.front() <= now - settings.window) {
            window.pop_front();
        }
        limits_.emplace_back(now, highest_limit());
        while (limits_.front().first < now - settings.window) {
            limits_.pop_front();
        }
    }

    workspace_limit limit_;
    std::deque<std::pair<mono_time, workspace_limit>> limits_; ///< in force in the last window
    std::uint64_t incarnations_ = 0;
    std::multimap<mono_time, std::pair<std::string, gossip>> network_;
};

} // namespace cove
