#pragma once
/**
 * @file One entry host: accepts client requests, answers look-ups, follows the platform's store and
 * exchanges messages with its peers.
 */

#include "directory/lookup.h"
#include "directory/remote_quotas.h"
#include "host/host_freshness.h"
#include "host/host_settings.h"
#include "host/request_forwarder.h"
#include "host/store_calls.h"
#include "peer/loop_transport.h"
#include "peer/replication.h"
#include "peer/version_trace.h"
#include "traffic/evacuation_list.h"
#include "traffic/target_list.h"

#include <boost/asio/signal_set.hpp>
#include <optional>

namespace cove {

/** A look-up, parsed from the platform's request format. */
struct lookup_request {
    std::string host; ///< host name that the client wants to reach
    zone_id zone;     ///< of the client
};

/** The platform's formats for the calls that reach a host; makes no decisions. */
struct host_wire_format {
    header_names names;
    std::string ready_path;
    /** @return the look-up in a request target, or nothing if the target is not a look-up. */
    std::function<std::optional<lookup_request>(std::string const& request_target)> parse_lookup;
    /** @return the body of the response to a look-up. */
    std::function<std::string(std::vector<std::string> const& addresses, milliseconds lifetime)>
        lookup_body;
};

/** How a configuration came to this host. */
struct config_delivery {
    std::string source; ///< for the log
    std::string peer;   ///< IP of the host that sent it; empty: the store did
    mono_time received{};
};

/** Reads and parses the settings again. */
using settings_source = std::function<result<host_settings>()>;

/** Connects the components of an entry host and runs them on one event loop. */
class entry_host {
public:
    /** @param connect_store returns the calls to the store; their results go to the hooks. */
    entry_host(boost::asio::io_context& loop, loop_timers& timers, host_settings settings,
               host_wire_format wire, settings_source reload_settings,
               std::function<store_calls(store_hooks)> const& connect_store);

    /** Starts the listeners and starts following the store. @return an error if that fails. */
    result<void> start();

private:
    store_hooks hooks();
    store_calls observe_reachability(store_calls calls);
    void doubt_store(pull_kind kind);
    void note_newer_config(node_id const& host, generation version);
    void update_store_following(mono_time now);
    void enter_era(store_era era, std::string const& source);
    void register_self(int failures);
    void list_hosts(int failures);
    void retry_store_call(std::string const& failed, int failures, std::function<void()> call);
    void watch_signals();
    void report_delay(microseconds delay);
    void report_unread(milliseconds time);
    void reload();
    void start_leaving();
    void log_open_sends(std::string const& event);
    void finish_leaving();
    void stop_process(std::string const& reason);

    bool on_config(config_document const& document, std::string packed,
                   config_delivery const& delivery);
    void on_message(std::string const& bytes);
    void on(gossip const& message);
    void on(pull_request const& message);
    void on(pull_refused const& message);
    void on(change_notice const& message);
    void on(host_snapshot const& message);
    void on(target_changes const& message);
    void on(crash_report const& message);
    void on(freshness_query const& message);
    void on(freshness_answer const& message);
    void spread_crashes(std::vector<crash_record> const& records);
    void repeat_crashes(mono_time now);
    std::optional<targets_changed> apply(target_changes const& message, std::string const& source);
    bool apply(packed_config const& received, config_delivery const& delivery);
    bool apply(target_snapshot const& list, std::string const& source);
    bool apply(evacuation_snapshot const& list, std::string const& source, std::string const& peer);
    void apply_evacuations(std::string const& source, std::string const& peer);
    void expire_held_entries(mono_time now);
    void push_to_zone(host_message const& message);
    void transmit(std::vector<std::string> const& ips, host_message const& message);
    void forward_changes(targets_changed const& changes);

    void tick();
    void send(host_effects const& effects);
    void report_peers(mono_time now);
    void update_zone_shares(mono_time now);
    [[nodiscard]] local_host_state state() const;
    [[nodiscard]] bool store_lost() const;
    [[nodiscard]] bool ready() const;
    [[nodiscard]] replica_role role() const;
    [[nodiscard]] log_fields describe_config() const;
    replica_access copies();
    [[nodiscard]] known_versions versions() const;
    void update_serving_hosts(mono_time now);
    [[nodiscard]] std::vector<remote_quota> remote_quotas(mono_time now) const;

    void answer_readiness(call_id call, http_request const& request);
    void answer_lookup(call_id call, http_request const& request);
    void answer_metrics(call_id call, http_request const& request);
    [[nodiscard]] std::string metrics_text();

    boost::asio::io_context& loop_;
    loop_timers& timers_;
    host_settings settings_;
    host_wire_format wire_;
    settings_source reload_settings_;
    log_limiter log_;
    loop_monitor monitor_;
    mono_time work_noted_ = read_clocks().mono; ///< when monitor_'s longest work was last taken
    microseconds cpu_noted_{};                  ///< processor time of this process until then
    std::shared_ptr<memory_budget> answers_;    ///< bounds all buffers
    workspace_quotas quotas_;
    request_forwarder forwarder_;
    http_server clients_;
    http_server readiness_;
    http_server directory_;
    http_server relays_; ///< requests of hosts that are cut off from the targets
    http_server metrics_;
    host_freshness freshness_;
    host_view view_;
    replication replication_;
    loop_transport transport_;
    store_calls store_;
    follower config_follower_;
    follower target_follower_;
    follower evacuation_follower_;
    boost::asio::signal_set signals_;
    target_list targets_;
    evacuation_list evacuations_;
    store_era era_;                   ///< latest one named by the store or by a peer
    std::uint64_t store_returns_ = 0; ///< from older copies, since this host started
    bool registered_ = false;         ///< the store has, or had, the address of this host
    bool host_call_pending_ = false;  ///< a call on addresses of hosts; there is one at a time
    std::map<std::string, boot_time> store_proofs_; ///< by kind: the copy was the newest then
    std::optional<packed_config> config_;           ///< the active configuration
    mono_time config_activated_{};
    version_trace heard_configs_;
    random_engine random_;
    std::vector<crash_record> crashes_to_report_; ///< gathered for one message
    mono_time next_crash_repeat_{};
    bool targets_known_ = false;
    share_limiter shares_;
    std::map<std::string, std::uint64_t> bytes_to_peers_; ///< sent so far, by kind of message
    mono_time started_;
    // Derived from the list of serving hosts:
    std::uint64_t serving_version_ = 0; ///< of the list
    std::vector<directory_host> directory_hosts_;
    std::vector<node_id> zone_serving_; ///< serving hosts of this zone
    quota_division quota_division_;
    std::set<node_id> stopping_hosts_; ///< as last reported to the forwarder
    /// This host is one of those that watch the store; the others get changes from them.
    bool follows_store_ = false;
    bool leaving_ = false;
    bool hosts_listed_ = false; ///< the store has returned the list of registered hosts
};

} // namespace cove
