#pragma once
/** @file Divides the limits of workspaces among all hosts without a common decision maker. */

#include "peer/peer_message.h"
#include "quota/quota_type.h"

#include <deque>
#include <functional>
#include <unordered_map>

namespace cove {

/** What quota_claims needs to know of its host. */
struct quota_claims_self {
    node_id name;
    zone_id zone;
    std::set<zone_id> zones; ///< all zones of the deployment
};

/** Inputs of one tick. */
struct quota_claims_tick {
    /// Requests per second of a workspace at this host, before rejection.
    std::function<double(workspace_id const&)> demand;
    milliseconds report_interval{250}; ///< in which each zone peer gets a report of this host
    bool leaving = false;              ///< this host is shutting down and gives up its claims
};

/**
 * The claims of this host on the limits of workspaces, in requests per second.
 *
 * For each workspace a host announces the rate that it desires. From the rates that they have
 * heard, all hosts derive the same division of the limit: in proportion to the desired rates, and
 * an even part for hosts that desire less than that. A claim falls at once and grows to the least
 * part of the last `increase_delay`, so that the others have received the demand and reduced theirs
 * before.
 *
 * What a silent host or zone has claimed stays set apart for it, as it may only be cut off, and the
 * hosts that hear each other divide the rest. On either side of a cut the claims thus stay within
 * what they were together when it began.
 *
 * Entries on the wire (quota_demand): the desired rate of a host, or the sum of a zone and the
 * number of its hosts with such a rate; with `hosts` 0, the part of the limit, 0 to 1, that a zone
 * sets apart for those of its hosts that are silent. An entry with workspace 0 is about the sender:
 * `hosts` 1 if its sums are complete, `zone_hosts` the hosts of its zone.
 */
class quota_claims {
public:
    quota_claims(quota_claims_self self, quota_settings settings, mono_time now);

    /** Replaces the limits. A lowered one takes effect at once. */
    void set_limits(workspace_limits const& limits);

    /** A host of this zone that may be running; it counts as silent until it reports. */
    void expect(node_id const& host, mono_time now);

    /** A report of a host; old and repeated ones and those of other zones are ignored. */
    void hear(host_report const& report, mono_time now);

    /** The latest status of a zone; a known one and that of the own zone are ignored. */
    void hear(zone_status const& status, mono_time now);

    /** Updates claims and announcements. Call it before each report is sent. */
    void tick(quota_claims_tick const& input, mono_time now);

    /** Gives up all claims, as after a start: this host may have missed any message. */
    void restart(mono_time now);

    /** @return requests per second that this host may admit now. */
    [[nodiscard]] double claim(workspace_id const& workspace) const;

    /** @return whether the demand of all hosts fits the limit, as far as known. */
    [[nodiscard]] bool within_limit(workspace_id const& workspace) const;

    /** @return entries for the next report of this host. */
    [[nodiscard]] std::vector<quota_demand> const& report_entries() const { return report_; }

    /** @return entries for a status of this zone. */
    [[nodiscard]] std::vector<quota_demand> const& status_entries() const { return status_; }

    /** @return hosts that share the limits, as far as known, this one included. */
    [[nodiscard]] int known_hosts() const;

    /// Statuses of zones are sent every second, so that the loss of one is bridged.
    static constexpr milliseconds increase_delay{3000};
    static constexpr milliseconds retention{60'000}; ///< of what a silent host has claimed
    /// A host that hears less than half of the hosts for this long gives up its claims, before the
    /// others reuse them.
    static constexpr milliseconds isolation_max{45'000};

private:
    struct share {
        double desired = 0;   ///< requests per second, of all its hosts together
        int hosts = 0;        ///< with a desired rate
        double set_apart = 0; ///< part of the limit, for silent hosts of the zone
        mono_time refreshed{};
    };
    using share_table = std::unordered_map<std::uint32_t, share>;
    using part_table = std::unordered_map<std::uint32_t, double>; ///< parts of the limits, 0 to 1

    /** What is known of another host of this zone, or of another zone. */
    struct participant {
        node_id sender; ///< of the last message
        host_incarnation incarnation;
        std::uint64_t sequence = 0;
        mono_time heard{};
        milliseconds silence_max{};
        int hosts = 1;
        bool leaving = false;
        bool has_reported = false;
        share_table shares;
        std::optional<part_table> held; ///< while it is silent: its claims when that began
    };

    /** A part of the limit, as derived at one time. */
    struct derived_part {
        mono_time at{};
        double rate = 0;
    };

    struct own_share {
        std::uint32_t key = 0;
        double limit = 0; ///< requests per second
        double desired = 0;
        double in_force = 0;
        bool within_limit = false;      ///< the demand of all hosts fits the limit
        std::deque<derived_part> parts; ///< of the last increase_delay; rates increase
        mono_time changed{};            ///< last change of what is announced
    };

    /** Weights of the others that are heard, and what silent ones hold. */
    struct division {
        double weights = 0;
        double held = 0;    ///< part of the limit
        double desired = 0; ///< requests per second, also of silent ones
    };

    static void read_entries(participant& from, std::vector<quota_demand> const& entries,
                             mono_time now);
    [[nodiscard]] bool silent(participant const& other, mono_time now) const;
    [[nodiscard]] int hosts_of(participant const& other) const;
    [[nodiscard]] double even_part(own_share const& own) const;
    [[nodiscard]] double weight_of(participant const& other, own_share const& own) const;
    [[nodiscard]] division others(own_share const& own) const;
    void hold_claims_of_silent(mono_time now);
    static void put_in_force(own_share& own, double part, mono_time now);
    template <class Visit>
    void for_each_other(Visit const& visit) const;
    void expire(mono_time now);
    [[nodiscard]] int hosts_heard_within(milliseconds age, mono_time now) const;
    static void update_desired(own_share& own, double demand, bool leaving, mono_time now);
    void write_report(quota_claims_tick const& input, mono_time now);
    void write_status(mono_time now);

    quota_claims_self self_;
    quota_settings settings_;
    std::map<workspace_id, own_share> own_;
    std::map<node_id, participant> peers_;
    std::map<zone_id, participant> zones_;
    mono_time hears_most_since_; ///< this host has heard more than half of the hosts
    mono_time started_;
    mono_time last_tick_;
    std::vector<quota_demand> report_;
    std::vector<quota_demand> status_;
};

} // namespace cove
