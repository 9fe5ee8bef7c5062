#pragma once
/** @file Gossip membership of entry hosts: which hosts are alive and what they last reported. */

#include "core/random.h"
#include "core/time_type.h"
#include "peer/peer_message.h"
#include "peer/pull_choice.h"

#include <map>

namespace cove {

/** A message to send to the entry hosts at some IPs. */
struct outgoing_host_message {
    std::vector<std::string> ips;
    host_message message;
    /// Hosts that may hear nothing of this one although their end of the connection acknowledges;
    /// this message and later ones go to them over new connections.
    std::vector<std::string> reconnect = {};
};

using host_effects = std::vector<outgoing_host_message>;

/** Whether another host of this zone is running, as far as this host can tell. */
enum class peer_state {
    starting, ///< known by address for so short a time that its first report may still arrive
    alive,    ///< reports arrive
    leaving,  ///< reports arrive and announce its shutdown
    silent,   ///< reports have ceased; it may have lost only its messages
    gone,     ///< never reported or silent for long; counts for nothing until it is heard
};

/** What this host knows of another host of its own zone. */
struct zone_peer {
    host_report report;
    mono_time last_heard{};    ///< when a newer report was last received
    bool has_reported = false; ///< false while only the address is known and no report was received
    mono_time known_since{};   ///< when this address was first received
    mono_time asked{};         ///< when it was last asked for a report, since it was last heard
};

/** What this host knows of another zone. */
struct remote_zone {
    zone_status status;     ///< with the last roster received, also if a later status had none
    mono_time last_heard{}; ///< when a newer status was last received, directly or relayed
    mono_time asked{};      ///< when its speaker was last asked for a status, since then
};

/** A host of another zone, known from the platform's store or from a report. */
struct remote_host {
    zone_id zone;
    std::string ip;
    host_incarnation left_incarnation; ///< the one that announced its shutdown
};

/** The announced shutdown of another host. */
struct host_stop {
    host_incarnation incarnation; ///< that shuts down
    mono_time heard{};            ///< when it was last announced
};

/** State of this host that goes into its next report. */
struct local_host_state {
    bool leaving = false;
    bool ready = false;
    bool cut_off = false; ///< has lost its links to all targets
    known_versions versions;
    std::vector<service_load_report> loads;
    bool store_lost = false;
    std::vector<target_in_flight> targets_in_flight;
    std::vector<target_limit_report> target_limits;
    std::vector<service_objects> new_objects;
    std::vector<quota_demand> quota_demands;      ///< of this host
    std::vector<quota_demand> zone_quota_demands; ///< of the zone, for its status
    bool stale_config = false; ///< cannot prove that its configuration is the newest
};

/**
 * Gossip membership of entry hosts.
 *
 * Within a zone, each host sends its report to the zone's other hosts (its zone peers); in a large
 * zone it reaches a part of them per tick. Between zones, only the speaker of a zone sends: the
 * live host with the lowest name that is not leaving. It sends the zone's status to one host of
 * every other zone, and the receiver relays the status within its own zone. A status carries the
 * zone's roster only for some rounds after a change and in periodic refreshes; a status without a
 * roster keeps the hosts of the last roster alive. The traffic of a host therefore grows with the
 * number of zones and not with the number of hosts.
 *
 * Messages are not acknowledged, so a sender does not see that they are lost on a connection whose
 * other end still acknowledges at TCP. The receiver does: it asks a zone peer whose reports cease,
 * and the one that is asked, though it has sent reports, replaces its connection to the asker. In
 * the same way a speaker asks the one of a zone whose statuses cease, which then replaces its
 * connections to that zone.
 */
class host_view {
public:
    /**
     * @param self initial report of this host; its incarnation must be higher than earlier ones.
     * @param seed of the random choice of receivers.
     */
    host_view(host_report self, std::uint64_t seed);

    /** Adds the address of a host that may be running, or has been replaced long ago. */
    void add_contact(node_id const& name, zone_id const& zone, std::string const& ip,
                     mono_time now);

    /** Adds the address of a host whose name is not known, as configured in the settings. */
    void add_seed(std::string const& ip);

    /** Sends the periodic messages. Call every tick_interval. */
    host_effects tick(local_host_state const& own, mono_time now);

    /** Announces the shutdown of this host to all live hosts of all zones. */
    host_effects announce_leaving(local_host_state const& own, mono_time now);

    /** Merges the reports and statuses of a received message. @return the answer, if one is due. */
    host_effects receive(gossip const& message, mono_time now);

    /**
     * @return live hosts of all zones that accept requests, this one included if it does. The list
     * is made anew only after a change, because it names every host of the deployment.
     */
    std::vector<roster_host> const& serving(mono_time now);

    /** @return a number that changes whenever serving() returns another list. */
    std::uint64_t serving_version(mono_time now);

    /** @return the hosts of all zones whose announced shutdown may still be under way. */
    [[nodiscard]] std::set<node_id> stopping_hosts(mono_time now) const;

    /** @return reports of the live hosts of this zone, this one first; valid until the next call
     * of a member that changes the view. */
    [[nodiscard]] std::vector<host_report const*> zone_hosts(mono_time now) const;

    /** @return zone peers that may be starting; no report of them was received yet. */
    [[nodiscard]] std::vector<node_id> starting_zone_peers(mono_time now) const;

    /** @return the status, without roster, of each live zone, this one first. */
    [[nodiscard]] std::vector<zone_status> zones(mono_time now) const;

    /**
     * Only some hosts of a zone follow the platform's store; the others get its data from them.
     * @param max_followers number of hosts of a zone that follow the store.
     * @return whether this host follows the store: it is among the first by name of the hosts that
     * are alive or starting, or it replaces one of those that has lost the store.
     */
    [[nodiscard]] bool follows_store(int max_followers, mono_time now) const;

    /** @return whether this host sends the status of its zone: no live host precedes it. */
    [[nodiscard]] bool is_speaker(mono_time now) const;

    /** @return the IPs of the other live hosts of this zone. */
    [[nodiscard]] std::vector<std::string> zone_peer_ips(mono_time now) const;

    /** @return of these, the hosts whose last report names a configuration before @p version. */
    [[nodiscard]] std::vector<std::string> zone_peer_ips_before(generation version,
                                                                mono_time now) const;

    /**
     * @return the live hosts of this zone, this one first, and the speakers of the other live
     * zones, with the versions that they have reported; a speaker reports those of its whole zone.
     */
    [[nodiscard]] std::vector<pull_source> reported_copies(mono_time now) const;

    /** @return how many live hosts of this zone precede this one by name. */
    [[nodiscard]] int rank_in_zone(mono_time now) const;

    /** @return the time in which each zone peer gets at least one report of this host. */
    [[nodiscard]] milliseconds zone_round() const
    {
        return tick_interval * (ticks_per_zone_round() + 1);
    }

    /// Period of tick(); also the interval of the reports in a small zone.
    static constexpr milliseconds tick_interval{250};

private:
    [[nodiscard]] std::uint64_t ticks_per_zone_round() const;
    void count_reporting_peers(mono_time now);
    [[nodiscard]] peer_state state_of(zone_peer const& host, mono_time now) const;
    [[nodiscard]] bool is_alive(zone_peer const& host, mono_time now) const;
    [[nodiscard]] bool is_alive(remote_zone const& zone, mono_time now) const;
    [[nodiscard]] std::vector<roster_host> own_roster(mono_time now) const;
    [[nodiscard]] std::vector<bool> liveness(mono_time now) const;
    void refresh_serving(mono_time now);
    [[nodiscard]] std::vector<roster_host> roster_of(remote_zone const& zone) const;
    [[nodiscard]] zone_status own_status(mono_time now, bool with_roster) const;
    [[nodiscard]] std::vector<std::string> discovery_ips(mono_time now) const;
    [[nodiscard]] gossip full_gossip(mono_time now, bool answer_wanted) const;
    void refresh_self(local_host_state const& own);
    void gossip_within_zone(host_effects& out, mono_time now);
    roster_host const& choose_receiver(std::vector<roster_host> const& hosts);
    void gossip_to_other_zones(host_effects& out, mono_time now);
    [[nodiscard]] bool has_untold_config(mono_time now) const;
    void greet_new_contacts(host_effects& out, mono_time now);
    void send_discovery(host_effects& out, mono_time now);
    [[nodiscard]] bool is_late(zone_peer const& host, mono_time now) const;
    void ask_late_hosts(host_effects& out, mono_time now);
    void ask_late_zones(host_effects& out, mono_time now);
    [[nodiscard]] std::vector<std::string> links_to(remote_zone const& zone) const;
    [[nodiscard]] std::vector<std::string> unheard_links(gossip const& asking, mono_time now) const;
    outgoing_host_message answer_to(gossip const& asking, std::vector<std::string> unheard,
                                    mono_time now);
    std::vector<std::string> replace_connections(std::vector<std::string> ips, mono_time now);
    void note_stop(node_id const& host, host_incarnation incarnation, bool leaving, mono_time now);
    void merge_report(host_report const& report, mono_time now);
    void merge_zone_status(zone_status const& status, bool relay, mono_time now);

    host_report self_;
    std::vector<quota_demand> zone_quota_demands_; ///< for the status of this zone
    random_engine random_;
    std::map<node_id, zone_peer> zone_peers_;     ///< without this host
    std::size_t reporting_peers_ = 0;             ///< zone peers that get the reports of this host
    std::vector<node_id> contacts_to_greet_;      ///< zone peers that no message was sent to yet
    std::map<zone_id, remote_zone> remote_zones_; ///< without this zone
    std::map<node_id, remote_host> remote_hosts_;
    std::map<node_id, host_stop> stops_; ///< announced lately
    std::set<std::string> seeds_;        ///< IPs from which no message or report was received yet
    std::map<std::string, mono_time> replaced_at_;     ///< connections replaced lately, by IP
    std::map<zone_id, zone_status> statuses_to_relay_; ///< received since the last tick
    std::vector<roster_host> last_sent_roster_;        ///< of this zone
    generation told_config_;               ///< of this zone, in the last message to other zones
    std::uint64_t roster_rounds_left_ = 0; ///< rounds between zones that still send the roster
    std::uint64_t ticks_ = 0;
    mono_time last_tick_{};
    std::vector<roster_host> serving_; ///< result of serving()
    std::uint64_t serving_version_ = 0;
    bool serving_changed_ = true;        ///< a host has joined, left or changed
    std::vector<bool> serving_liveness_; ///< liveness() at which serving_ was made
};

} // namespace cove
