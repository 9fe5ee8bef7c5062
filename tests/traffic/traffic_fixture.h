#pragma once
/** @file Test fixture: a traffic reducer with a simulated clock and a zone of targets. */

#include "traffic/traffic.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace cove {

/** Passes events to a reducer and keeps the effects of the last one. */
class traffic_fixture {
public:
    explicit traffic_fixture(retry_limiter_settings retry_limits = {0.2, milliseconds{10'000}, 50},
                             node_id const& self = node_id("h0"), double shift_cap = 1)
        : reducer({self,
                   zone_id("home"),
                   {{zone_id("home"), region_id("r")}, {zone_id("away"), region_id("s")}},
                   retry_limits,
                   shift_cap})
    {
        route.name = route_id("route");
        route.idempotent = true;
        route.timeout = milliseconds{2000};
        route.objective = milliseconds{300};
        route.max_attempts = 2;
        route.sticky = true;
        services.services[desk] = {desk, "/health", 100, milliseconds{3000}, 4};
        feed(services);
    }

    traffic_effects const& feed(traffic_event const& event)
    {
        effects = reducer.reduce(event, now);
        note_sends(effects);
        return effects;
    }

    /**
     * Reports live hosts.
     * @param in_zone number of hosts of this zone, `h0`, `h1`, …, including this host.
     * @param in_total number of hosts of all zones.
     */
    void report_hosts(int in_zone, int in_total, std::vector<remote_quota> quotas = {})
    {
        peers_reported peers;
        for (int i = 0; i < in_zone; ++i) {
            peers.hosts_in_zone.emplace_back("h" + std::to_string(i));
        }
        peers.hosts_in_total = in_total;
        peers.remote_quotas = std::move(quotas);
        feed(peers);
    }

    /** Lists @p count targets `t0`, `t1`, … in the zone of this host. */
    void list(int count, int slots = 2)
    {
        entries.clear();
        for (int i = 0; i < count; ++i) {
            entries.push_back(target("t" + std::to_string(i), "home", slots));
        }
        feed(targets_listed{entries});
    }

    target_entry target(std::string const& name, std::string const& zone, int slots) const
    {
        target_entry entry;
        entry.id = target_id(name);
        entry.service = desk;
        entry.address = "10.0.0.1:80";
        entry.zone = zone_id(zone);
        entry.slots = slots;
        entry.incarnation = target_incarnation(1);
        return entry;
    }

    request_id arrive(std::string const& object = "", std::string const& client = "c")
    {
        request_id const id(next++);
        feed(request_arrived{id, std::make_shared<route_config const>(route), desk,
                             object_key(object), client, deadline});
        return id;
    }

    traffic_effects const& end(request_id id, target_id const& target, attempt_end result)
    {
        return feed(ended(id, target, result));
    }

    /** @return the end of the latest attempt of a request, to be completed by the caller. */
    [[nodiscard]] attempt_ended ended(request_id id, target_id const& target,
                                      attempt_end result) const
    {
        attempt_ended event;
        event.attempt = attempts.at(id);
        EXPECT_EQ(event.attempt.target, target);
        event.end = result;
        return event;
    }

    /** @return the end of @p sent, to be completed by the caller. */
    static attempt_ended ended(send_attempt const& sent, attempt_end result)
    {
        attempt_ended event;
        event.attempt = sent.attempt;
        event.end = result;
        return event;
    }

    /** Ends the latest relay of a request. */
    traffic_effects const& end_relay(request_id id, relay_end result)
    {
        return feed(relay_ended{relays.at(id), result});
    }

    /** Advances the clock in steps of the tick of the host. */
    void advance(milliseconds time)
    {
        constexpr milliseconds step{20};
        for (milliseconds done{0}; done < time; done += step) {
            now += step;
            auto const more = reducer.reduce(timer_tick{}, now);
            note_sends(more);
            advance_effects.insert(advance_effects.end(), more.begin(), more.end());
        }
    }

    void note_sends(traffic_effects const& list)
    {
        for (auto const& sent : of_kind<send_attempt>(list)) {
            attempts[sent.attempt.id.request] = sent.attempt;
        }
        for (auto const& relayed : of_kind<relay_request>(list)) {
            relays[relayed.id.request] = relayed.id;
        }
    }

    /** @return the effects of kind @p Effect in @p list. */
    template <class Effect>
    static std::vector<Effect> of_kind(traffic_effects const& list)
    {
        std::vector<Effect> out;
        for (traffic_effect const& effect : list) {
            if (auto const* const found = std::get_if<Effect>(&effect)) {
                out.push_back(*found);
            }
        }
        return out;
    }

    /** @return the effect of kind @p Effect of the last event if there is exactly one, else
     * nullopt. */
    template <class Effect>
    [[nodiscard]] std::optional<Effect> single() const
    {
        auto const found = of_kind<Effect>(effects);
        return found.size() == 1 ? std::optional(found[0]) : std::nullopt;
    }

    service_id const desk{"desk"};
    traffic reducer;
    route_config route;
    services_listed services;
    std::vector<target_entry> entries;
    milliseconds deadline{2000};
    mono_time now{seconds{100}};
    traffic_effects effects;                       ///< of the last event
    traffic_effects advance_effects;               ///< effects of all calls of advance()
    std::map<request_id, target_attempt> attempts; ///< the latest of each request
    std::map<request_id, send_id> relays;          ///< the latest of each request
    std::uint64_t next = 1;
};

} // namespace cove
