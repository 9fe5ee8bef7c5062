#pragma once
/** @file One entry host: takes requests, answers look-ups, follows the store, talks to its peers.
 */

#include "directory/lookup.h"
#include "directory/room_division.h"
#include "follow/lag_watch.h"
#include "host/host_settings.h"
#include "host/request_carrier.h"
#include "host/store_port.h"
#include "peer/host_view.h"
#include "peer/loop_transport.h"
#include "traffic/target_list.h"

#include <boost/asio/signal_set.hpp>
#include <optional>

namespace cove {

/** A look-up as the platform's form of it was read. */
struct lookup_request {
    std::string host; ///< name of the host that the client wants to reach
    zone_id zone;     ///< of the client
};

/** Translation of the calls that reach a host; decides nothing. */
struct host_wire {
    carrier_names names;
    std::string ready_path;
    /** @return the look-up in a request target, or nothing when it is none. */
    std::function<std::optional<lookup_request>(std::string const& request_target)> read_lookup;
    /** @return the body of a look-up's answer. */
    std::function<std::string(std::vector<std::string> const& addresses, milliseconds lifetime)>
        lookup_body;
};

/** Reads the settings again. */
using settings_source = std::function<result<host_settings>()>;

/** Wires the parts of an entry host to one event loop. */
class entry_host {
public:
    /** @param connect_store makes the calls to the store; what they bring goes to the hooks. */
    entry_host(boost::asio::io_context& loop, loop_timers& timers, host_settings settings,
               host_wire wire, settings_source reread,
               std::function<store_port(store_hooks)> const& connect_store);

    /** Starts to listen and to follow. @return why it could not. */
    result<void> start();

private:
    store_hooks hooks();
    store_port observed(store_port port);
    void choose_followers(mono_time now);
    void register_self(int failures);
    void list_hosts(int failures);
    void try_again(std::string const& failed, int failures, std::function<void()> call);
    void watch_signals();
    void reload();
    void leave();
    void finish_leaving();

    void on_config(config_document document);
    void on_message(std::string const& bytes);
    void on(gossip const& message);
    void on(pull const& message);
    void on(snapshot const& message);
    void on(target_changes const& message);
    bool take(target_changes const& message);
    void take(target_snapshot const& list);
    void take(evacuation_snapshot const& list);
    void tell_zone(host_message const& message);
    void on_targets(bool changed);

    void tick();
    void send(host_effects const& effects);
    void pull_if_behind(mono_time now);
    void report_peers(mono_time now);
    void steer(mono_time now);
    [[nodiscard]] own_state state() const;
    [[nodiscard]] bool store_lost() const;
    [[nodiscard]] bool ready() const;
    [[nodiscard]] known_versions versions() const;
    [[nodiscard]] std::vector<remote_room> rooms(std::vector<roster_host> const& hosts,
                                                 mono_time now) const;

    void answer_readiness(call_id call, http_request const& request);
    void answer_lookup(call_id call, http_request const& request);
    void answer_metrics(call_id call, http_request const& request);
    [[nodiscard]] std::string metrics_text() const;

    boost::asio::io_context& loop_;
    loop_timers& timers_;
    host_settings settings_;
    host_wire wire_;
    settings_source reread_;
    log_limiter log_;
    request_carrier carrier_;
    http_server clients_;
    http_server readiness_;
    http_server directory_;
    http_server metrics_;
    host_view view_;
    loop_transport transport_;
    store_port store_;
    follower config_follower_;
    follower target_follower_;
    follower evacuation_follower_;
    boost::asio::signal_set signals_;
    target_list targets_;
    std::set<zone_id> evacuated_;
    revision evacuations_at_;
    std::optional<config_document> config_;
    bool targets_known_ = false;
    share_mover shares_;
    mono_time started_;
    lag_watch lag_;
    bool follows_ = false; ///< this host is one of those that watch the store
    bool leaving_ = false;
    bool hosts_listed_ = false; ///< the store has named the other hosts
};

} // namespace cove
