#pragma once
/** @file Which entry hosts live and what they report; decides whom to tell. */

#include "core/random.h"
#include "core/time_type.h"
#include "peer/peer_message.h"

#include <map>

namespace cove {

/** Send a message to the host at an IP. */
struct send_to_host {
    std::string ip;
    host_message message;
};

using host_effects = std::vector<send_to_host>;

/** A host of this zone as it is known here. */
struct known_host {
    host_report report;
    mono_time heard{};     ///< when a newer report last came
    bool reported = false; ///< false while only its address is known
};

/** Another zone as it is known here. */
struct known_zone {
    zone_status status; ///< its roster is the last that came
    mono_time heard{};  ///< when a newer status last came, from whomever
};

/** A host of another zone that the store or a leaving host has named. */
struct outside_host {
    zone_id zone;
    std::string ip;
    host_life left; ///< the life in which it said that it leaves
};

/** Own state that goes into the next report. */
struct own_state {
    bool leaving = false;
    bool ready = false;
    known_versions versions;
    std::vector<service_load_report> loads;
    bool store_lost = false;
    std::vector<target_use> running;
};

/**
 * Membership of entry hosts. In a zone each host tells the others of itself, a large zone in
 * turns. Between zones only the first host of a zone speaks, to one host of every other zone, and
 * what that hears it passes on in its own zone. A zone's hosts are named when they change and now
 * and then; in between its status keeps them alive. So what a host sends and receives grows with
 * the number of zones and not with that of hosts.
 */
class host_view {
public:
    /** @param self what is reported of this host; its life must be new. @param seed of choices. */
    host_view(host_report self, std::uint64_t seed);

    /** An address at which a host may be. */
    void add_contact(node_id const& name, zone_id const& zone, std::string const& ip);

    /** Addresses without names, from the settings. */
    void add_seed(std::string const& ip);

    /** Periodic work; call every tick_interval. */
    host_effects tick(own_state const& own, mono_time now);

    /** Tells everybody at once that this host leaves. */
    host_effects announce_leaving(own_state const& own, mono_time now);

    /** Takes what a peer tells. */
    host_effects receive(gossip const& message, mono_time now);

    /** @return hosts that are alive and take requests, this one included. */
    [[nodiscard]] std::vector<roster_host> serving(mono_time now) const;

    /** @return live hosts of this zone, this one first. */
    [[nodiscard]] std::vector<host_report> zone_hosts(mono_time now) const;

    /** @return hosts of this zone that the store or a peer named and that were never heard. */
    [[nodiscard]] std::vector<node_id> unheard_neighbours() const;

    /** @return the status of each zone that was heard of lately, this one included; no rosters. */
    [[nodiscard]] std::vector<zone_status> zones(mono_time now) const;

    /**
     * @param most hosts of a zone that follow the store; the others hear from them.
     * @return whether this host is one of them: by name among the zone's hosts, and besides in
     * place of one that has lost the store.
     */
    [[nodiscard]] bool follows_store(int most, mono_time now) const;

    /** @return the IPs of the other live hosts of this zone. */
    [[nodiscard]] std::vector<std::string> zone_ips(mono_time now) const;

    static constexpr milliseconds tick_interval{250}; ///< between reports inside a small zone

private:
    [[nodiscard]] std::uint64_t turns() const;
    [[nodiscard]] bool is_alive(known_host const& host, mono_time now) const;
    [[nodiscard]] bool is_alive(known_zone const& zone, mono_time now) const;
    [[nodiscard]] bool is_speaker(mono_time now) const;
    [[nodiscard]] std::vector<roster_host> own_roster(mono_time now) const;
    [[nodiscard]] std::vector<roster_host> roster_of(known_zone const& zone) const;
    [[nodiscard]] zone_status own_status(mono_time now, bool with_roster) const;
    [[nodiscard]] std::vector<std::string> strangers(mono_time now) const;
    [[nodiscard]] gossip everything(mono_time now, bool answer_wanted) const;
    void refresh_self(own_state const& own);
    void tell_zone(host_effects& out, mono_time now);
    void tell_other_zones(host_effects& out, mono_time now);
    void tell_strangers(host_effects& out, mono_time now);
    void take(host_report const& report, mono_time now);
    void take(zone_status const& status, bool relay, mono_time now);

    host_report self_;
    random_engine random_;
    std::map<node_id, known_host> hosts_; ///< of this zone, all but this one
    std::map<zone_id, known_zone> zones_; ///< all but this one
    std::map<node_id, outside_host> outside_;
    std::set<std::string> seeds_;               ///< IPs that no report has named yet
    std::map<zone_id, zone_status> to_pass_on_; ///< heard since the last tick
    std::vector<roster_host> last_roster_;      ///< of this zone, as last told
    std::uint64_t roster_rounds_ = 0;           ///< rounds of speaking that still carry it
    std::uint64_t ticks_ = 0;
};

} // namespace cove
