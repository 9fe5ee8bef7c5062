#pragma once
/** @file The entry hosts of a soak run, which can be started, frozen, stopped and killed. */

#include "core/scheduler.h"
#include "node/node.h"
#include "soak/audit.h"
#include "soak/random_source.h"

namespace cove {

/** One entry host. */
struct fleet_host {
    entry_host host_entry;
    std::unique_ptr<node_state> node; ///< empty while the process is down
    std::uint64_t process_epoch = 0;  ///< changes when the process starts and when it ends
    microseconds clock_skew{};        ///< offset of its monotonic clock from the virtual time
    bool frozen = false;              ///< the process handles no events
    bool stopping = false;            ///< a graceful stop was requested
    mono_time disturbed_at{};         ///< when it last started or was unfrozen
    std::vector<node_event_body> held_events; ///< events that wait while it is frozen
    /** The newest look-up snapshot; stays available after the process that published it ended. */
    std::shared_ptr<lookup_snapshot const> published_lookup;
};

/** Callbacks for the effects of the reducers. */
struct fleet_hooks {
    std::function<void(std::size_t host, send_peer const& send)> send;
    std::function<void(std::size_t host, call_target const& call)> call;
    std::function<void(std::size_t host, call_key key)> cancel;
    std::function<void(reply const& response)> answered;
    /** The process ended; planned if by a graceful stop. */
    std::function<void(std::size_t host, bool planned)> ended;
    std::function<void(std::size_t host, log_line const& line)> logged;
};

/** Runs the reducers of all entry hosts. */
class fleet {
public:
    /** @param disabled mechanisms that are disabled in all reducers. */
    fleet(scheduler& time, random_source& random, audit& checks, disabled_mechanisms disabled);

    /** Sets the callbacks; must precede the first start. */
    void connect(fleet_hooks hooks) { hooks_ = std::move(hooks); }

    /** Adds a host whose process is not running. @return its index. */
    std::size_t add(entry_host listed);

    /** Starts the process of @p host with a new incarnation id. */
    void start(std::size_t host);

    /** Kills the process of @p host. */
    void kill(std::size_t host);

    void freeze(std::size_t host);
    void unfreeze(std::size_t host);

    /** Requests a graceful stop of the process of @p host. */
    void stop(std::size_t host);

    /** Delivers @p body to @p host; dropped unless its process is still @p process_epoch. */
    void deliver(std::size_t host, std::uint64_t process_epoch, node_event_body body);

    std::vector<fleet_host> const& hosts() const { return hosts_; }
    bool is_up(std::size_t host) const { return hosts_[host].node != nullptr; }

private:
    void reduce_event(std::size_t host, node_event_body body);
    void apply_effects(std::size_t host, node_effects const& effects);
    void end_process(std::size_t host, bool planned);

    scheduler& time_;
    random_source& random_;
    audit& checks_;
    disabled_mechanisms disabled_;
    fleet_hooks hooks_;
    std::vector<fleet_host> hosts_;
};

} // namespace cove
