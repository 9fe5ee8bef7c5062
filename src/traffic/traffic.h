#pragma once
/** @file The reducer over all requests of an entry host. */

#include "traffic/come_back.h"
#include "traffic/placement.h"
#include "traffic/refused_requests.h"
#include "traffic/repeat_budget.h"
#include "traffic/target_state.h"
#include "traffic/traffic_effect.h"

#include <map>
#include <set>

namespace cove {

/** Where this host stands and what binds it. */
struct traffic_settings {
    node_id host;
    zone_id zone;
    std::map<zone_id, region_id> regions; ///< of every zone
    repeat_terms repeats;
};

/** One request under way. */
struct pending_request {
    request_id id;
    std::shared_ptr<route_config const> route;
    service_id service;
    object_key object;
    mono_time arrived;
    mono_time expires;           ///< the client's deadline or the route's timeout
    microseconds spent_before{}; ///< since the client's first try arrived, if it came back
    mono_time deadline;          ///< of the client
    std::string client;
    int attempts = 0;
    bool came_back = false;
    bool may_have_run = false;
    bool abandoned = false; ///< the client has left; the run goes on
    std::set<target_id> tried;
    target_state const* waits_for = nullptr; ///< the target whose queue it counts in
    // of the attempt under way
    std::optional<target_id> target;
    mono_time sent;
    double expected_ms = 0;
    double way_ms = 0; ///< part of expected_ms spent between zones
    std::optional<std::uint64_t> object_age;
    std::size_t rank = 0;
    // the order of the targets of this zone for the object, as of a version of the list
    std::vector<std::size_t> order;
    std::uint64_t order_version = 0;
};

/** The targets of a service by place. */
struct service_targets {
    std::vector<target_state*> own;    ///< in this host's zone
    std::vector<target_state*> remote; ///< in other zones
};

/** What the requests of one service that are placed in one turn share. */
struct placing_turn {
    std::vector<placement_candidate> own;
    std::vector<std::size_t> own_index; ///< of each candidate in service_targets::own
    std::vector<placement_candidate> remote;
    bool remote_surveyed = false;
    double load_price = 0;
};

/**
 * Decides for each request: which target, when, how often, and when to give up. It holds no clock,
 * socket or random device: events carry the time, effects are data.
 */
class traffic {
public:
    explicit traffic(traffic_settings settings);

    /** Takes one event. @return what to do now. */
    traffic_effects reduce(traffic_event const& event, mono_time now);

    /** @return whether time_passed is needed soon. */
    [[nodiscard]] bool waits() const { return !requests_.empty(); }

    /** @return the load of the targets of this zone. */
    [[nodiscard]] std::vector<service_load_report> loads(mono_time now) const;

    /** @return this host's requests at each target that has any, by short hash. */
    [[nodiscard]] std::map<std::uint32_t, int> running(mono_time now) const;

    /** @return how many requests are queued or under way. */
    [[nodiscard]] std::size_t open_requests() const { return requests_.size(); }

private:
    void on(request_arrived const& event);
    void on(attempt_ended const& event);
    void on(client_gone const& event);
    void on(targets_listed const& event);
    void on(evacuations_listed const& event);
    void on(services_listed const& event);
    void on(peers_reported const& event);
    void on(time_passed const& event);

    void learn(pending_request const& request, attempt_ended const& event);
    void after_failure(pending_request& request, attempt_ended const& event);
    bool retry(pending_request& request);
    void pump(service_id const& service);
    placing_turn begin_turn(service_id const& service, pending_request const* newcomer = nullptr);
    void survey_remote(placing_turn& turn, service_id const& service);
    void place(pending_request& request, placing_turn& turn);
    std::vector<placement_option> own_options(pending_request& request, placing_turn& turn);
    std::vector<placement_option> remote_options(pending_request& request, placing_turn& turn);
    std::vector<placement_option> rank(pending_request& request, placing_turn const& turn,
                                       std::vector<placement_candidate>& candidates,
                                       std::vector<std::size_t> const& ranks);
    void wait_or_refuse(pending_request& request, placing_turn& turn,
                        placement_option const* waits_for);
    void send(pending_request& request, placement_option const& option);
    void refuse(request_id id, refusal reason, milliseconds until_room);
    void forget(request_id id);
    void check_running(pending_request& request);
    void ask_another(pending_request& request);

    [[nodiscard]] bool is_home(route_config const& route, zone_id const& zone) const;
    [[nodiscard]] double cold_share(target_state const& target) const;
    [[nodiscard]] int remote_running(zone_id const& zone, service_id const& service) const;
    [[nodiscard]] bool comes_before(pending_request const& a, pending_request const& b) const;
    [[nodiscard]] bool hopeless(pending_request const& request) const;

    traffic_settings settings_;
    mono_time now_{};
    traffic_effects effects_;
    std::map<target_id, target_state> targets_;
    std::map<service_id, service_targets> by_service_;
    std::uint64_t list_version_ = 1; ///< of targets_
    std::map<service_id, service_terms> terms_;
    std::set<zone_id> evacuated_;
    std::map<request_id, pending_request> requests_;
    std::map<service_id, std::vector<request_id>> queues_;
    refused_requests refused_;
    std::map<std::pair<zone_id, service_id>, int> rooms_;
    std::map<zone_id, moving_mean> way_ms_; ///< there and back, from connection times
    std::map<service_id, warm_window> windows_;
    std::map<service_id, moving_mean> first_hits_;
    service_times times_;
    repeat_budget budget_;
    come_back_times come_back_;
    std::vector<node_id> hosts_in_zone_; ///< this host included; empty until peers were heard
    bool neighbours_known_ = true;
    int hosts_in_total_ = 1;
};

} // namespace cove
