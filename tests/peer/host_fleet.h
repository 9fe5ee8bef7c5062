#pragma once
/** @file Simulated hosts that gossip with each other. */

#include "peer/host_view.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace cove {

inline host_report report(std::string const& name, std::string const& zone,
                          std::uint64_t incarnation = 1)
{
    host_report out;
    out.name = node_id(name);
    out.zone = zone_id(zone);
    out.ip = "ip-" + name;
    out.client_address = "10.0.0.1:80";
    out.incarnation = host_incarnation(incarnation);
    out.sequence = 1;
    out.ready = true;
    return out;
}

inline local_host_state ready()
{
    local_host_state own;
    own.ready = true;
    return own;
}

inline gossip gossip_from(std::string const& name, std::vector<host_report> reports)
{
    return {node_id(name), "ip-" + name, std::move(reports), {}, false};
}

inline constexpr mono_time start{seconds{10}};

/**
 * Simulated hosts with instant delivery of messages. Messages from and to dead hosts are lost, and
 * so are messages between partitioned and other hosts.
 */
class fleet {
public:
    void add(std::string const& name, std::string const& zone, std::uint64_t incarnation = 1)
    {
        hosts.insert_or_assign("ip-" + name,
                               host_view(report(name, zone, incarnation), hosts.size()));
        hosts.at("ip-" + name).add_seed("ip-a1");
    }

    void advance(milliseconds time)
    {
        for (milliseconds done{0}; done < time; done += host_view::tick_interval) {
            now += host_view::tick_interval;
            for (auto& [ip, host] : hosts) {
                if (!dead.contains(ip)) {
                    deliver(ip, host.tick(ready(), now));
                }
            }
        }
    }

    void deliver(std::string const& from, host_effects const& effects)
    {
        for (outgoing_host_message const& effect : effects) {
            for (std::string const& ip : effect.reconnect) {
                ++replaced_connections;
                mute.erase({from, ip});
            }
            for (std::string const& ip : effect.ips) {
                ++sent_messages[from];
                sent_bytes += encode_host_message(effect.message).size();
                auto const to = hosts.find(ip);
                bool const lost = dead.contains(ip) ||
                                  partitioned.contains(from) != partitioned.contains(ip) ||
                                  mute.contains({from, ip}) || on_silent_link(from, ip);
                if (to != hosts.end() && !lost) {
                    deliver(ip, to->second.receive(std::get<gossip>(effect.message), now));
                }
            }
        }
    }

    /** Lets each link fall silent until some time after the next message on it. */
    void silence_links() { silenced_ = true; }

    std::set<std::string> serving_seen_by(std::string const& name)
    {
        std::set<std::string> out;
        for (roster_host const& host : hosts.at("ip-" + name).serving(now)) {
            out.insert(host.name.value);
        }
        return out;
    }

    /** @return the number of the last report that host @p to has from its zone peer @p from. */
    std::uint64_t last_report(std::string const& to, std::string const& from)
    {
        for (host_report const* const each : hosts.at("ip-" + to).zone_hosts(now)) {
            if (each->name == node_id(from)) {
                return each->sequence;
            }
        }
        return 0;
    }

    std::map<std::string, host_view> hosts;
    std::set<std::string> dead;
    std::set<std::string> partitioned;
    /// Connections, from sender to receiver, on which messages are acknowledged and lost.
    std::set<std::pair<std::string, std::string>> mute;
    std::map<std::string, int> sent_messages;
    std::size_t sent_bytes = 0;
    int replaced_connections = 0;
    mono_time now = start;

private:
    bool on_silent_link(std::string const& from, std::string const& to)
    {
        constexpr milliseconds replacement{1750}; // TCP_USER_TIMEOUT and a new connection
        return silenced_ &&
               now < replaced_at_.try_emplace({from, to}, now + replacement).first->second;
    }

    bool silenced_ = false;
    std::map<std::pair<std::string, std::string>, mono_time> replaced_at_; ///< by both ends
};

inline fleet three_zones()
{
    fleet out;
    for (char const* const name : {"a1", "a2", "b1", "b2", "c1", "c2"}) {
        out.add(name, std::string(1, name[0]));
    }
    return out;
}

} // namespace cove
