#pragma once
/** @file Proofs that the configuration of a host is new: its calls, messages and log lines. */

#include "log/log_limiter.h"
#include "peer/host_view.h"
#include "workspace/config_freshness.h"

#include <functional>

namespace cove {

/** Reads the clock for config_freshness and exchanges its messages with other hosts. */
class host_freshness {
public:
    /** What it needs of its host. */
    struct host_hooks {
        std::function<void(std::string const& ip, host_message const& message)> send;
        std::function<void()> ask_store; ///< replace the watch of the configuration
    };

    /**
     * @param ip of this host, to which answers are sent.
     * @param withdrawal_max zero: the configuration always counts as fresh.
     * @param first_nonce random.
     */
    host_freshness(node_id name, std::string ip, milliseconds withdrawal_max,
                   std::uint64_t first_nonce, log_limiter& log, host_hooks hooks);

    void enter_era(store_era era) { state_.enter_era(era, read_boot_clock()); }
    void store_has(generation version) { state_.store_has(version); }
    void config_applied(generation version) { state_.config_applied(version); }
    void store_proved(boot_time at, store_era era) { state_.store_proved(at, era); }
    void on(freshness_query const& message);
    void on(freshness_answer const& message);

    /**
     * Sends what is due; call every 250 ms.
     * @param keys_in_use whether the configuration has workspaces.
     */
    void tick(host_view& view, bool follows_store, bool keys_in_use, mono_time now);

    [[nodiscard]] bool fresh() const { return state_.fresh(read_boot_clock()); }

    /** @return the gauge of the age of the proof; empty without any proof. */
    [[nodiscard]] std::string prometheus() const;

private:
    [[nodiscard]] freshness_sources choose_sources(host_view& view, mono_time now);
    void transmit(outgoing_freshness_answer const& answer) const;
    void log_change(bool keys_in_use, mono_time now);
    [[nodiscard]] std::string age_text() const;

    node_id name_;
    std::string ip_;
    log_limiter& log_;
    host_hooks hooks_;
    config_freshness state_;
    std::uint64_t rounds_ = 0;  ///< of choices, so that each host has its turn
    bool logged_stale_ = false; ///< what the last log line said
};

} // namespace cove
