#pragma once
/** @file How entry hosts get the platform store's data from each other: notices, pushes, pulls. */

#include "follow/lag_detector.h"
#include "log/log_func.h"
#include "peer/byte_budget.h"
#include "peer/change_log.h"
#include "peer/host_view.h"

#include <functional>
#include <set>

namespace cove {

/** Access to this host's copies of the store's data. */
struct replica_access {
    std::function<known_versions()> versions;                ///< positions of the copies
    std::function<std::optional<packed_config>()> config;    ///< nothing if there is none yet
    std::function<std::optional<target_snapshot>()> targets; ///< nothing if there is no list yet
    std::function<evacuation_snapshot()> evacuations;
    /// Peers have newer data than this host's watches have delivered: ask the store at once.
    std::function<void(pull_kind)> doubt_store;
    /// Writes a log line.
    std::function<void(std::string const& name, log_fields fields)> log;
};

/** What this host can do for its zone at the moment. */
struct replica_role {
    bool ready = false;         ///< has a configuration and a list of targets
    bool follows_store = false; ///< watches the store
    bool store_lost = false;    ///< its calls to the store fail
    /// Pause of the first follower of a zone between two watches of the targets.
    milliseconds targets_pause{};
};

/**
 * Decides what an entry host sends to others of the store's data, and what it asks them for.
 *
 * Of the hosts of a zone that follow the store, the first one pushes each change to the zone. All
 * of them tell one host of every other zone that there is a change, and that host tells its zone. A
 * host that hears of a change and does not get it pulls it from a host that has it: of the same
 * zone if there is one, otherwise of another zone. It then does for its zone what the first
 * follower would have done. The hosts of a zone pull from other zones one after the other, in the
 * order of their names, so that the first one that can serves the rest.
 */
class replication {
public:
    /** @param view of this host, which outlives the object. */
    replication(std::string ip, zone_id zone, host_view& view, replica_access copies,
                std::uint64_t seed);

    /** Sends what is due. Call every host_view::tick_interval, after host_view::tick(). */
    host_effects tick(replica_role const& role, mono_time now);

    /** @return the answer to a pull, or its refusal if the limit on answers is reached. */
    host_effects on(pull_request const& message, mono_time now);

    /** Pulls from another host what the sender has refused. */
    host_effects on(pull_refused const& message, replica_role const& role, mono_time now);

    /** Takes note of a change and passes the notice on to the zone if that is due. */
    host_effects on(change_notice const& message, mono_time now);

    /** @return the copies of a received configuration that this host is to pass on. */
    [[nodiscard]] host_effects relay(host_snapshot const& message) const;

    /** The store has delivered the configuration that is now active. */
    host_effects config_from_store(mono_time now);

    /** The store has delivered changes, perhaps none, which were applied to the evacuations. */
    host_effects evacuations_from_store(bool changed, mono_time now);

    /** The store has delivered changes, perhaps none, which were applied to the list of targets. */
    host_effects targets_from_store(target_changes const& changes, mono_time now);

    /** The store has delivered whole lists, which have replaced those of this host. */
    void targets_listed(store_position at) { targets_log_.restart(at); }
    void evacuations_listed(store_position at) { evacuations_changed_ = at; }

    /** The configuration in @p message is now active. */
    host_effects config_from_peer(host_snapshot const& message, mono_time now);

    /** The evacuations in @p message have replaced those of this host. */
    host_effects evacuations_from_peer(host_snapshot const& message, mono_time now);

    /** The list of targets in @p message has replaced that of this host. */
    void targets_from_peer(host_snapshot const& message);

    /** The changes in @p message were applied to the list of targets. */
    host_effects targets_from_peer(target_changes const& message, mono_time now);

    /** @return the versions that this host reports: the positions of the last changes. */
    [[nodiscard]] known_versions reported_versions() const;

private:
    /** A host that has told of a change. */
    struct informed_host {
        known_versions changes;
        zone_id zone;
        mono_time heard{};
    };
    /** Pulls of one kind. */
    struct pull_state {
        lag_detector lag;
        std::string asked = {};       ///< IP of the host that was asked last
        bool asked_elsewhere = false; ///< it is in another zone, and its answer is due
        bool answer_due = false;      ///< nothing of this kind has come since it was asked
        std::optional<mono_time> store_doubted = {};
        std::map<std::string, mono_time> refused_at = {}; ///< by IP of the host that refused a pull
        std::map<std::string, mono_time> silent_at = {};  ///< by IP of the host that did not answer
    };

    void pull_if_behind(host_effects& out, pull_kind kind, replica_role const& role, mono_time now);
    void note_silence(pull_state& state, mono_time now);
    [[nodiscard]] std::vector<pull_source> sources(pull_kind kind, mono_time now) const;
    [[nodiscard]] milliseconds pull_delay(pull_source const& source, pull_kind kind,
                                          replica_role const& role, mono_time now) const;
    [[nodiscard]] pull_state& state_of(pull_kind kind)
    {
        return kind == pull_kind::targets ? targets_ : decisions_;
    }
    [[nodiscard]] target_changes widen(target_changes const& changes) const;
    [[nodiscard]] static bool is_answer(host_snapshot const& message, pull_state const& state);
    void push_as_standby(host_effects& out, mono_time now);
    void push_config_to_lagging(host_effects& out, mono_time now) const;
    void notify_other_zones(host_effects& out, known_versions const& news, mono_time now);
    void notify_silent_zones(host_effects& out, mono_time now);
    void notify_zones(host_effects& out, std::set<zone_id> const& except, mono_time now);
    [[nodiscard]] change_notice notice(bool pass_on) const;

    std::string ip_;
    zone_id zone_;
    host_view& view_;
    replica_access copies_;
    random_engine random_;
    pull_state decisions_;
    pull_state targets_;
    change_log targets_log_;
    store_position evacuations_changed_;
    known_versions heard_;                          ///< newest versions of all notices
    std::map<std::string, informed_host> informed_; ///< by IP
    byte_budget bulk_answers_;
    bool standby_deferred_ = false; ///< the first follower has told of the configuration
    std::optional<mono_time> standby_push_due_;   ///< of the configuration, by a second follower
    std::optional<mono_time> targets_notice_due_; ///< of leaving targets, to other zones
    mono_time targets_noticed_{};
    known_versions news_;                    ///< that other zones were told of lately
    std::optional<mono_time> retelling_due_; ///< of news_, to zones that have not told of it
};

} // namespace cove
