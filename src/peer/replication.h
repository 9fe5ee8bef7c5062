#pragma once
/** @file How entry hosts get the platform store's data from each other: pushes and pulls. */

#include "follow/lag_detector.h"
#include "log/log_func.h"
#include "peer/byte_budget.h"
#include "peer/host_view.h"

#include <functional>

namespace cove {

/** Reads this host's copies of the store's data. */
struct replica_access {
    std::function<known_versions()> versions;
    std::function<std::optional<packed_config>()> config;    ///< nothing if there is none yet
    std::function<std::optional<target_snapshot>()> targets; ///< nothing if there is no list yet
    std::function<evacuation_snapshot()> evacuations;
    /// Writes a log line.
    std::function<void(std::string const& name, log_fields fields)> log;
};

/** What this host can do for its zone at the moment. */
struct replica_role {
    bool ready = false;         ///< has a configuration and a list of targets
    bool follows_store = false; ///< watches the store
    bool store_lost = false;    ///< its calls to the store fail
};

/**
 * Decides what an entry host sends to others of the store's data, and what it asks them for.
 *
 * Of the hosts of a zone that follow the store, the first one pushes each change to the zone. What
 * is still missing is pulled from a host that has it: of the same zone if there is one, otherwise
 * of another zone.
 */
class replication {
public:
    /** @param ip of this host. @param view of this host, which outlives the object. */
    replication(std::string ip, host_view& view, replica_access copies);

    /** Sends what is due. Call every host_view::tick_interval, after host_view::tick(). */
    host_effects tick(replica_role const& role, mono_time now);

    /** @return the answer to a pull, if the limit on answers allows it. */
    host_effects on(pull_request const& message, mono_time now);

    /** @return the copies of a received configuration that this host is to pass on. */
    [[nodiscard]] host_effects relay(host_snapshot const& message) const;

    /** The store has delivered the configuration that is now active. */
    host_effects config_from_store(mono_time now);

    /** A peer has delivered the configuration that is now active. */
    host_effects config_from_peer(replica_role const& role, mono_time now);

    /** The store has delivered evacuations that differ from those before. */
    host_effects evacuations_from_store(mono_time now);

    /** A peer has delivered evacuations that differ from those before. */
    host_effects evacuations_from_peer(replica_role const& role, mono_time now);

private:
    [[nodiscard]] bool pulls_for_zone(replica_role const& role, mono_time now) const;
    void pull_if_behind(host_effects& out, replica_role const& role, mono_time now);
    [[nodiscard]] host_effects push_config_to_lagging(mono_time now) const;

    std::string ip_;
    host_view& view_;
    replica_access copies_;
    lag_detector lag_;
    byte_budget bulk_answers_;
    std::optional<mono_time> standby_push_due_; ///< of the configuration, by a second follower
};

} // namespace cove
