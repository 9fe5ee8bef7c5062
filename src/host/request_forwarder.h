#pragma once
/** @file Forwards client requests to targets as the traffic reducer decides. */

#include "host/request_admission.h"
#include "host/target_connection_pool.h"
#include "host/withdrawal_log.h"
#include "host/workspace_quotas.h"
#include "http/server.h"
#include "log/log_limiter.h"
#include "metrics/latency_metrics.h"
#include "metrics/loop_monitor.h"
#include "route/route_table.h"
#include "route/weighted_round_robin.h"
#include "traffic/traffic.h"

#include <unordered_map>

namespace cove {

/** Names of the header fields of requests and responses. */
struct header_names {
    std::string attempt_id;      ///< identifies one attempt of a client; targets echo it
    std::string deadline;        ///< ms for which the client, or this host, still waits
    std::string object;          ///< key of the object that the request concerns
    std::string expected_target; ///< a target with another id rejects the request
    std::string signature;       ///< set by targets only; responses of others lack it
    std::string not_run;         ///< present if the target did not run the request
    std::string load;            ///< running,waiting,slots[,slowness in percent] of the target
    std::string leaving;         ///< `1` if the target shuts down
    std::string limit;      ///< requests per second that the target takes from all hosts together
    std::string workspace;  ///< name of the workspace, set by this host only
    std::string key_scheme; ///< of Authorization, before the access key
};

/** Translates requests and responses into traffic events and executes the resulting effects. */
class request_forwarder {
public:
    /** @param limits of the connections to targets and to other hosts. */
    request_forwarder(boost::asio::io_context& loop, loop_timers& timers, header_names names,
                      traffic_settings settings, exchange_limits const& limits, log_limiter& log,
                      loop_monitor& monitor);
    ~request_forwarder();
    request_forwarder(request_forwarder const&) = delete;
    request_forwarder& operator=(request_forwarder const&) = delete;
    request_forwarder(request_forwarder&&) = delete;
    request_forwarder& operator=(request_forwarder&&) = delete;

    /** @param report sends records of ended targets to the other hosts. */
    void on_crashes(std::function<void(std::vector<crash_record> const&)> report)
    {
        report_crashes_ = std::move(report);
    }

    /** @param changed called when this host has lost its links to all targets, or has them again.
     */
    void on_links_changed(std::function<void(bool cut_off)> changed)
    {
        links_changed_ = std::move(changed);
    }

    /**
     * @param clients server of the clients' requests.
     * @param peers server of the requests that other hosts relay; both must outlive this.
     */
    void attach(http_server& clients, http_server& peers)
    {
        clients_ = &clients;
        peers_ = &peers;
    }

    /** @param quotas of the workspaces; must outlive this. */
    void limit(workspace_quotas& quotas) { quotas_ = &quotas; }

    void on_request(call_id call, http_request request);
    void on_client_disconnected(call_id call);

    /** @return whether @p request may run beside others of its client: its route is idempotent. */
    [[nodiscard]] bool may_run_concurrently(http_request const& request) const;

    /** A request that another host relays, as it is cut off from the targets. */
    void on_relayed_request(call_id call, http_request request);
    void on_relay_disconnected(call_id call);

    /** @param describe names the active configuration and the newest one announced, for the log. */
    void set_config_description(std::function<log_fields()> describe)
    {
        describe_config_ = std::move(describe);
    }

    /** @param behind called when host @p host relays by @p version, newer than that of this host.
     */
    void on_newer_config(std::function<void(node_id const& host, generation version)> behind)
    {
        newer_config_ = std::move(behind);
    }

    /** @param fresh whether the configuration is new enough for decisions on access keys. */
    void set_freshness(std::function<bool()> fresh) { admission_.set_freshness(std::move(fresh)); }
    [[nodiscard]] request_admission const& admission() const { return admission_; }

    void set_config(routing_config const& config);
    void set_targets(std::vector<target_entry> const& entries);
    void change_targets(targets_changed const& changes);
    void set_evacuations(std::set<zone_id> const& zones);
    void set_peers(peers_reported const& peers);
    /** This host stops; all requests are answered by @p answers_due or a few ticks later. */
    void announce_stop(mono_time answers_due);
    void set_crash_retention(milliseconds retention);
    void merge_crashes(std::vector<crash_record> const& records);

    [[nodiscard]] std::vector<service_load_report> loads() const;
    [[nodiscard]] std::map<std::uint32_t, int> in_flight_by_target() const;
    [[nodiscard]] std::map<std::uint32_t, rate_limit_notice> limits() const;
    [[nodiscard]] std::vector<service_objects> announcements(milliseconds window) const;
    [[nodiscard]] std::vector<crash_record> crashes(std::size_t limit) const;
    [[nodiscard]] std::size_t suspected_requests() const { return traffic_.suspected_requests(); }
    [[nodiscard]] bool cut_off() const { return traffic_.cut_off(); }
    [[nodiscard]] bool needs_relays() const;
    [[nodiscard]] std::uint64_t relayed_requests() const { return relayed_requests_; }
    [[nodiscard]] std::uint64_t departed_requests() const { return departed_requests_; }
    [[nodiscard]] std::uint64_t blocked_requests() const { return blocked_requests_; }
    [[nodiscard]] std::uint64_t failed_requests() const { return failed_requests_; }
    [[nodiscard]] std::size_t open_requests() const { return open_.size(); }
    /** @return number of requests that are at a target or another host. */
    [[nodiscard]] std::size_t open_sends() const;
    [[nodiscard]] withdrawal_log const& withdrawals() const { return withdrawals_; }
    [[nodiscard]] std::size_t queued_requests() const { return traffic_.queued_requests(); }
    [[nodiscard]] std::uint64_t ranked_requests() const { return traffic_.ranked_requests(); }
    [[nodiscard]] route_table const* routes() const { return routes_.get(); }
    [[nodiscard]] latency_metrics const& metrics() const { return metrics_; }

private:
    using connection = target_connection_pool::connection;

    /** An exchange with a target or another host. */
    struct running_exchange {
        send_id id;
        connection used;
        target_connection_pool& pool; ///< of the connection
        target_id peer;               ///< of the connection, as the pool names it
    };

    struct open_request {
        http_request message;              ///< without its body
        std::shared_ptr<std::string> body; ///< counted; shared with the connection that sends it
        http_server* server = nullptr;     ///< through which it came
        call_id call;                      ///< of that server
        std::string client;                ///< IP
        std::optional<int> attempts_left;  ///< if another host relays it
        node_id relayed_by;                ///< that host, if it names itself
        std::string attempt_id;
        request_fingerprint fingerprint;
        std::shared_ptr<route_config const> route;
        service_id service;
        mono_time arrived;
        http_response response;                   ///< to the last attempt
        std::optional<running_exchange> exchange; ///< the one in progress
        quota_ticket quota;                       ///< unit of its workspace, if it took one
        int sends = 0;                            ///< attempts and relays that were begun
        request_credentials credentials;
        bool may_have_run = false; ///< in an attempt that has ended
    };

    void feed(traffic_event const& event);
    void perform(traffic_event const& event);
    void drop_departed();
    void drop_stopped();
    void drop_ended();
    bool stop_unless_admitted(request_id id, open_request const& open);
    void end_withdrawn(request_id id);
    template <class Effect>
    void execute_guarded(Effect const& effect);
    void drop_failed();
    void execute(send_attempt const& effect);
    void execute(cancel_attempt const& effect);
    void execute(deliver_answer const& effect);
    void execute(answer_locally const& effect);
    void execute(report_crashes const& effect);
    void execute(log_blocked_request const& effect);
    void execute(relay_request const& effect);
    void execute(probe_target const& effect);
    void execute(links_probed const& effect);
    void execute(links_changed const& effect);
    std::optional<int> take_attempts_left(http_request& request);
    bool take_config_version(http_request& request, node_id const& relayed_by);
    void accept(request_id id, open_request open, bool relayed);
    void log_unknown_route(http_request const& request, bool relayed);
    std::shared_ptr<std::string> keep_body(open_request const& open, std::string body);
    void on_disconnected(request_id id);
    void drop(request_id id, bool unsent);
    void give_back(open_request const& open);
    [[nodiscard]] mono_time last_received_from_targets() const;
    [[nodiscard]] bool client_connected(request_id id) const;
    [[nodiscard]] exchange_connection::condition still_wanted(request_id id) const;
    [[nodiscard]] static http_request header_of(open_request const& open, milliseconds time_left,
                                                std::string const& deadline_name);
    void limit_connect_time(connection const& used);
    static void begin_exchange(open_request& open, running_exchange exchange);
    static void end_exchange(open_request& open, send_id const& id);
    void withdraw(open_request& open, cancel_attempt const& effect);
    void on_relay_end(relay_request const& relay, connection const& used, exchange_result result);
    void on_attempt_end(send_attempt const& attempt, connection const& used, bool fresh,
                        exchange_result result);
    static void respond(http_server& server, call_id call, boost::beast::http::status status,
                        milliseconds retry_after);
    void refuse(http_server& server, call_id call, boost::beast::http::status status) const;
    void record_outcome(open_request const& request, std::string const& outcome);
    [[nodiscard]] response_match match(std::string const& attempt_id,
                                       http_response const& response) const;
    [[nodiscard]] attempt_end classify(exchange_result const& result) const;
    [[nodiscard]] std::optional<target_load> parse_load(http_response const& response) const;
    [[nodiscard]] target_notice parse_notice(http_response const& response) const;

    workspace_quotas* quotas_ = nullptr;
    loop_timers& timers_;
    std::shared_ptr<memory_budget> memory_; ///< counts the bodies of requests
    header_names names_;
    node_id host_; ///< this one
    log_limiter& log_;
    withdrawal_log withdrawals_;
    loop_monitor& monitor_;
    traffic traffic_;
    target_connection_pool pool_;
    target_connection_pool relay_pool_; ///< connections to other hosts, by their address
    request_admission admission_;
    weighted_round_robin round_robin_;
    std::function<log_fields()> describe_config_ = [] { return log_fields(); };
    std::function<void(node_id const&, generation)> newer_config_;
    generation version_; ///< of the active configuration; 0: there is none
    std::unique_ptr<route_table> routes_;
    std::unordered_map<request_id, open_request> open_;
    std::vector<request_id> departed_; ///< found without client when they were to be sent
    std::vector<request_id> stopped_;  ///< not to be sent any more, by their access keys
    std::vector<request_id> failed_;   ///< their handling has ended with an exception
    bool performing_ = false;
    latency_metrics metrics_;
    http_server* clients_ = nullptr;
    http_server* peers_ = nullptr;
    loop_timers::subscription tick_ = 0;
    std::function<void(std::vector<crash_record> const&)> report_crashes_;
    std::function<void(bool)> links_changed_;
    std::uint64_t blocked_requests_ = 0;  ///< answered as blocked so far
    bool has_homes_elsewhere_ = false;    ///< some requests must run in other regions
    std::uint64_t relayed_requests_ = 0;  ///< sent to other hosts so far
    std::uint64_t departed_requests_ = 0; ///< not sent, as their clients had left
    std::uint64_t failed_requests_ = 0;   ///< answered 500, as their handling failed
};

} // namespace cove
