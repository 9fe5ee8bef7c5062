#pragma once
/** @file Divides the limits of workspaces among all hosts without a common decision maker. */

#include "peer/peer_message.h"
#include "quota/quota_type.h"

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
 * For each workspace a host announces what it desires and what it reserves. A reservation grows
 * only into what all known reservations leave free, and becomes a claim in force `increase_delay`
 * later, if the reservations then known still fit. So a claim in force is never above any
 * reservation that was announced within the delay, and other hosts count a host with its latest
 * announcement: the claims fit the limit as long as each host hears of each other at least once
 * within the delay. If one does not, it says so, and no claim of any host grows. A claim falls at
 * once to its share of the limit, which is in proportion to the desired rates.
 *
 * Entries on the wire (quota_demand): `hosts` 0 is a reservation, above 0 a desired rate. An entry
 * with workspace 0 is about the sender: `rate` 1 if it misses reports, `hosts` 1 if its sums are
 * complete, `zone_hosts` the hosts of its zone.
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

    /** @return entries for the next report of this host. */
    [[nodiscard]] std::vector<quota_demand> const& report_entries() const { return report_; }

    /** @return entries for a status of this zone. */
    [[nodiscard]] std::vector<quota_demand> const& status_entries() const { return status_; }

    /** @return hosts that share the limits, as far as known, this one included. */
    [[nodiscard]] int known_hosts() const;

    /// From a reservation to the claim. Statuses of zones are sent every second, so that the loss
    /// of two in a row is bridged.
    static constexpr milliseconds increase_delay{5000};
    static constexpr milliseconds retention{60'000}; ///< of what a silent host has reserved
    /// A host that hears less than half of the hosts for this long gives up its claims, before the
    /// others reuse them.
    static constexpr milliseconds isolation_max{45'000};

private:
    struct share {
        double desired = 0;
        double reserved = 0;
        mono_time refreshed{};
    };
    using share_table = std::unordered_map<std::uint32_t, share>;

    /** What is known of another host of this zone, or of another zone. */
    struct participant {
        node_id sender; ///< of the last message
        host_incarnation incarnation;
        std::uint64_t sequence = 0;
        mono_time heard{};
        milliseconds silence_max{};
        int hosts = 1;
        bool leaving = false;
        bool misses_reports = false; ///< as it said
        share_table shares;
    };

    /** A reservation that is not in force yet. */
    struct pending_claim {
        double rate = 0;
        mono_time effective{};
    };

    struct own_share {
        std::uint32_t key = 0;
        double limit = 0; ///< requests per second
        double desired = 0;
        double reserved = 0;
        double in_force = 0;
        std::vector<pending_claim> pending; ///< in the order of their rates and times
        mono_time next_increase{};
        mono_time changed{};      ///< last change of what is announced
        mono_time excess_since{}; ///< since when the claims known exceed the limit
    };

    static void lower(own_share& own, double rate);
    static void read_entries(participant& from, std::vector<quota_demand> const& entries,
                             mono_time now);
    [[nodiscard]] share others(std::uint32_t key) const;
    template <class Visit>
    void for_each_other(Visit const& visit) const;
    void expire(mono_time now);
    [[nodiscard]] bool misses_reports(mono_time now) const;
    [[nodiscard]] bool others_miss_reports() const;
    [[nodiscard]] int hosts_heard_within(milliseconds age, mono_time now) const;
    void update_desired(own_share& own, double demand, quota_claims_tick const& input,
                        mono_time now) const;
    void update_reserved(own_share& own, share const& rest, bool may_increase, mono_time now) const;
    static void put_in_force(own_share& own, share const& rest, bool may_increase, mono_time now);
    static void resolve_excess(own_share& own, share const& rest, mono_time now);
    void write_report(quota_claims_tick const& input, bool misses, mono_time now);
    void write_status(bool misses, mono_time now);

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
