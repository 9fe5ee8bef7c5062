#pragma once
/** @file State machine that dispatches the requests of an entry host to targets. */

#include "admission/queue_order.h"
#include "admission/workspace_shares.h"
#include "traffic/crash_table.h"
#include "traffic/left_targets.h"
#include "traffic/object_balance.h"
#include "traffic/placement.h"
#include "traffic/reach_monitor.h"
#include "traffic/refused_requests.h"
#include "traffic/retry_after.h"
#include "traffic/retry_limiter.h"
#include "traffic/target_state.h"
#include "traffic/traffic_effect.h"

#include <map>
#include <set>
#include <unordered_map>

namespace cove {

/** Location and limits of this host. */
struct traffic_settings {
    node_id host;
    zone_id zone;
    std::map<zone_id, region_id> regions; ///< region of every zone
    retry_limiter_settings retry_limits;
    /// Share of a region's requests that may change region within cross_region_window.
    double shift_cap = 1;
    milliseconds crash_retention{}; ///< how long requests that end targets stay blocked
};

/** A request that is queued or in progress. */
struct pending_request {
    /** @return whether it is at a target or another host. */
    [[nodiscard]] bool in_progress() const { return target.has_value() || relaying; }

    /** @return the identity of the latest send. */
    [[nodiscard]] send_id last_send() const { return {id, sends}; }

    request_id id;
    std::shared_ptr<route_config const> route;
    service_id service;
    object_key object;
    mono_time arrived;
    mono_time expires;             ///< the earlier of client deadline and route timeout
    mono_time allowed_until;       ///< the same, however soon this host stops
    microseconds elapsed_before{}; ///< if a client retry: time since the first try arrived
    mono_time deadline;            ///< deadline of the client
    std::string client;
    request_fingerprint fingerprint;
    workspace_id workspace; ///< empty: none
    queue_place place;
    std::vector<region_id> home_regions; ///< of its workspace; bind beside those of the route
    bool home_elsewhere = false;         ///< its home regions exclude the region of this host
    int max_attempts = 1; ///< targets that this host may send it to, or let other hosts send it to
    int attempts = 0;     ///< of these, used so far
    int unsent_attempts = 0; ///< that got no connection
    send_number sends;       ///< attempts and relays that were begun
    bool may_have_run = false;
    bool client_disconnected = false; ///< the run at the target continues without a client
    bool relayed = false;             ///< by another host; must not be relayed again
    node_id relayed_by;               ///< that host, if it is known
    bool relaying = false;            ///< another host carries it
    std::set<std::string> relays;     ///< addresses of the hosts that were asked to carry it
    std::set<target_id> tried;
    target_state const* queued_for = nullptr; ///< target for whose slots it waits
    mono_time placed{};                       ///< when it was last compared with the targets
    // State of the attempt in progress:
    std::optional<target_id> target;
    mono_time sent;
    double expected_ms = 0;
    double rtt_ms = 0; ///< cross-zone round trip, part of expected_ms
    std::optional<std::uint64_t> object_age;
    std::size_t rank = 0;
    // Cached object_order() of the local targets, and the list version that it was made from:
    std::vector<std::size_t> order;
    std::uint64_t order_version = 0;
};

/** The targets of a service by location. */
struct service_targets {
    std::vector<target_state*> local;  ///< in this host's zone
    std::vector<target_state*> remote; ///< in other zones
};

/** Target snapshots shared by all requests of a service that are placed at the same time. */
struct placement_round {
    std::vector<placement_candidate> local;
    std::vector<std::size_t> local_index; ///< of each candidate in service_targets::local
    std::unordered_map<target_state const*, std::size_t> position; ///< in `local`
    std::vector<placement_candidate> remote;
    bool remote_collected = false;
    double slot_time_weight = 0;
};

/**
 * Decides for each request which target gets it and when, whether it is retried, and when it is
 * refused. It is a pure reducer without clock, sockets or randomness: the caller passes events and
 * the time, and performs the returned effects.
 */
class traffic {
public:
    explicit traffic(traffic_settings settings);

    /** Processes one event. @return the effects to perform. */
    traffic_effects reduce(traffic_event const& event, mono_time now);

    /** @return whether timer_tick events are needed, for open requests or probes. */
    [[nodiscard]] bool needs_ticks() const { return !requests_.empty() || reach_.cut_off(); }

    /** @return the load of the targets of this zone, per service. */
    [[nodiscard]] std::vector<service_load_report> loads(mono_time now) const;

    /** @return the requests of this host at each target, by short hash; without zero counts. */
    [[nodiscard]] std::map<std::uint32_t, int> in_flight_by_target(mono_time now) const;

    /** @return the limits that targets have named to this host, by short hash. */
    [[nodiscard]] std::map<std::uint32_t, rate_limit_notice> limits(mono_time now) const;

    /** @return objects that this host has first seen within @p window, for the other hosts. */
    [[nodiscard]] std::vector<service_objects> announcements(milliseconds window,
                                                             mono_time now) const;

    /** @return number of requests under which targets have ended lately. */
    [[nodiscard]] std::size_t suspected_requests() const { return crashes_.size(); }

    /** @return whether this host has lost its links to all targets. */
    [[nodiscard]] bool cut_off() const { return reach_.cut_off(); }

    /** @return whether other hosts carry requests for this one, as it is cut off or was lately. */
    [[nodiscard]] bool needs_relays(mono_time now) const { return reach_.relay_share(now) > 0; }

    /** @return whether targets of @p zone may be used under @p home_regions; empty means any. */
    [[nodiscard]] bool is_home(std::vector<region_id> const& home_regions,
                               zone_id const& zone) const;

    /** @return whether @p config has routes or workspaces that must not run in this region. */
    [[nodiscard]] bool has_homes_elsewhere(routing_config const& config) const;

    /** @return the requests under which most targets have ended, at most @p limit. */
    [[nodiscard]] std::vector<crash_record> crashes(std::size_t limit, mono_time now) const
    {
        return crashes_.worst(limit, now);
    }

    /** @return number of requests that are queued or in progress. */
    [[nodiscard]] std::size_t open_requests() const { return requests_.size(); }

    /** @return number of requests that wait for a target. */
    [[nodiscard]] std::size_t queued_requests() const;

    /** @return how often a request was compared with the targets so far; measures the work. */
    [[nodiscard]] std::uint64_t ranked_requests() const { return ranked_requests_; }

private:
    void on(request_arrived const& event);
    void on(attempt_ended const& event);
    void on(client_disconnected const& event);
    void on(targets_listed const& event);
    void on(targets_changed const& event);
    void on(evacuations_listed const& event);
    void on(services_listed const& event);
    void on(peers_reported const& event);
    void on(crashes_reported const& event);
    void on(crash_retention_changed const& event);
    void on(relay_ended const& event);
    void on(probe_ended const& event);
    void on(stop_announced const& event);
    void on(timer_tick const& event);

    bool put_target(target_entry const& entry);
    void index_targets();
    void dispatch_all_queues();
    void balance_objects();
    void record_end(attempt_ended const& event, pending_request const* request);
    void record_links(attempt_ended const& event, target_state const& target);
    void record_at_target(attempt_ended const& event, target_state& target,
                          std::optional<double> time_ratio);
    void record_times(attempt_ended const& event, target_state& target,
                      pending_request const& request);
    void after_end(pending_request& request, attempt_ended const& event);
    void after_failure(pending_request& request, attempt_ended const& event);
    void note_crash(attempt_ended const& event);
    void refuse_blocked();
    [[nodiscard]] bool wants_relay(pending_request const& request) const;
    bool relay(pending_request& request);
    [[nodiscard]] relay_host const* choose_relay(pending_request const& request) const;
    [[nodiscard]] bool relaying_host_stops(pending_request const& request) const;
    void start_probes();
    void move_running_to_relays();
    void keep_suspects_apart(pending_request const& request,
                             std::vector<placement_option>& options) const;
    bool retry(pending_request& request);
    void dispatch_queue(service_id const& service);
    void refuse_expired(service_id const& service);
    void sort_queue(std::vector<request_id>& queue);
    [[nodiscard]] queue_place place_of(request_arrived const& event,
                                       pending_request const& request);
    void update_share(pending_request& request);
    placement_round begin_round(service_id const& service);
    void count_waiting(placement_round& round, service_id const& service,
                       pending_request const* before = nullptr) const;
    void collect_remote_candidates(placement_round& round, service_id const& service);
    void place(pending_request& request, placement_round& round);
    std::vector<placement_option> local_options(pending_request& request, placement_round& round);
    std::vector<placement_option> remote_options(pending_request& request, placement_round& round);
    std::vector<placement_option> rank(pending_request& request, placement_round const& round,
                                       std::vector<placement_candidate>& candidates,
                                       std::vector<std::size_t> const& ranks);
    [[nodiscard]] bool ends_before_stop(pending_request const& request);
    [[nodiscard]] bool must_be_tried(pending_request const& request) const;
    void wait_or_refuse(pending_request& request, placement_round& round,
                        placement_option const* queued_for);
    void send(pending_request& request, placement_option const& option);
    [[nodiscard]] milliseconds pause_left(service_id const& service) const;
    void refuse(request_id id, refusal reason, milliseconds until_slot_free);
    void remove_request(request_id id);
    [[nodiscard]] pending_request* find_in_progress(send_id const& id);
    void abandon_send(pending_request& request, withdrawal reason);
    [[nodiscard]] bool may_be_sent_again(pending_request const& request) const;
    bool withdraw_to_send_again(pending_request& request, withdrawal reason);
    void check_attempt(pending_request& request);
    void retry_on_other_target(pending_request& request);

    void count_sent(pending_request const& request, zone_id const& zone);
    [[nodiscard]] bool in_other_region(zone_id const& zone) const;
    bool cross_region_allowed(pending_request const& request, placement_round const& round);
    [[nodiscard]] bool zone_allowed(pending_request const& request, zone_id const& zone) const;
    [[nodiscard]] send_rates rates_for(target_state const& target) const;
    [[nodiscard]] double usable_slots(target_state const& target) const;
    [[nodiscard]] int remote_running(zone_id const& zone, service_id const& service) const;

    traffic_settings settings_;
    mono_time now_{};
    traffic_effects effects_;
    std::map<target_id, target_state> targets_;
    std::map<service_id, service_targets> targets_by_service_;
    std::unordered_map<std::uint32_t, target_state*> targets_by_hash_; ///< by short hash
    left_targets left_targets_;
    std::set<std::uint32_t> limited_;          ///< short hashes of targets with a limit to report
    std::vector<std::uint32_t> used_by_peers_; ///< short hashes of targets with requests of peers
    std::uint64_t list_version_ = 1;           ///< incremented by index_targets()
    std::map<service_id, service_settings> service_settings_;
    std::set<zone_id> evacuated_zones_;
    std::map<request_id, pending_request> requests_;
    std::map<service_id, std::vector<request_id>> queues_;
    std::map<service_id, workspace_shares> workspace_shares_;
    refused_requests refused_requests_;
    crash_table crashes_;
    reach_monitor reach_;
    std::vector<relay_host> relays_;
    std::set<node_id> stopping_hosts_; ///< see peers_reported
    std::size_t next_probed_ = 0;      ///< position in targets_ at which the next round starts
    std::map<std::pair<zone_id, service_id>, int> remote_quotas_;
    std::map<zone_id, moving_mean> rtt_ms_; ///< round-trip time, from connection times
    std::map<service_id, warm_window> warm_windows_;
    std::map<service_id, moving_mean> preferred_hit_rates_;
    service_times service_times_;
    std::map<service_id, object_balance> object_balances_;
    retry_limiter retry_limiter_;
    rate_window sent_;              ///< attempts within the window of the shift cap
    rate_window sent_cross_region_; ///< of these, the ones to targets of other regions
    retry_after_schedule retry_after_;
    std::vector<node_id> hosts_in_zone_; ///< includes this host; empty before the first report
    bool zone_peers_known_ = true;       ///< see peers_reported
    int hosts_in_total_ = 1;
    std::uint64_t ranked_requests_ = 0;
    std::optional<mono_time> answers_due_;    ///< set once this host stops
    std::optional<mono_time> stop_announced_; ///< set with answers_due_
    std::optional<mono_time> cut_off_since_;  ///< set while the host takes itself for cut off
};

} // namespace cove
