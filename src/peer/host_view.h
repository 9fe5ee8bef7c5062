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

/** A host as it is known here. */
struct known_host {
    host_report report;
    mono_time heard{};     ///< when a newer report last came, from whomever
    bool reported = false; ///< false while only its address is known
};

/** Own state that goes into the next report. */
struct own_state {
    bool leaving = false;
    bool ready = false;
    generation config_version;
    revision targets_at;
    revision evacuations_at;
    std::vector<service_load_report> loads;
    bool store_lost = false;
};

/**
 * Membership of entry hosts. In a zone every host tells every other. Between zones only one host
 * of each zone speaks, to one host of every other zone, and what it hears spreads in its zone; the
 * cost for each host does not grow with the fleet but for the size of the reports.
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

    /** Takes reports from a peer. @param from_ip empty when not known. */
    host_effects receive(gossip const& message, mono_time now);

    /** @return hosts that are alive and take requests, this one included. */
    [[nodiscard]] std::vector<host_report> serving(mono_time now) const;

    /** @return hosts that are alive, this one included. */
    [[nodiscard]] std::vector<host_report> alive(mono_time now) const;

    /** @return live hosts of this zone that take requests, this one included. */
    [[nodiscard]] int serving_in_zone(mono_time now) const;

    /**
     * @param most hosts of a zone that follow the store; the others hear from them.
     * @return whether this host is one of them: by name among the zone's hosts, and besides in
     * place of one that has lost the store.
     */
    [[nodiscard]] bool follows_store(int most, mono_time now) const;

    /** @return the IPs of the other live hosts of this zone. */
    [[nodiscard]] std::vector<std::string> zone_ips(mono_time now) const;

    static constexpr milliseconds tick_interval{250}; ///< between reports inside the zone

private:
    [[nodiscard]] bool is_alive(known_host const& host, mono_time now) const;
    [[nodiscard]] bool is_speaker(mono_time now) const;
    void refresh_self(own_state const& own);
    [[nodiscard]] host_message zone_gossip(mono_time now) const;
    [[nodiscard]] host_message whole_gossip(mono_time now, bool answer_wanted) const;
    void tell_zone(host_effects& out, mono_time now);
    void tell_other_zones(host_effects& out, mono_time now);
    void tell_strangers(host_effects& out, mono_time now);

    host_report self_;
    random_engine random_;
    std::map<node_id, known_host> hosts_; ///< all but this one
    std::set<std::string> seeds_;         ///< IPs that no report has named yet
    std::uint64_t ticks_ = 0;
};

} // namespace cove
