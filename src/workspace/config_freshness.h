#pragma once
/** @file For how long the configuration of a host is known to be the newest. */

#include "core/ids_type.h"
#include "core/store_position_type.h"
#include "core/time_type.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cove {

/** A question to the host at an IP: up to which moment is its configuration the newest? */
struct outgoing_freshness_query {
    std::string ip;
    std::uint64_t nonce = 0;
};

/** The answer to the host at an IP. */
struct outgoing_freshness_answer {
    std::string ip;
    std::uint64_t nonce = 0;
    milliseconds offset{}; ///< proven moment minus the receipt of the query, rounded down
    generation version;
};

/** What a tick asks the host to do. */
struct freshness_effects {
    std::vector<outgoing_freshness_query> queries;
    std::vector<outgoing_freshness_answer> answers;
    bool ask_store = false; ///< replace the pending watch of the configuration by a short one
};

/** Hosts that may be queried; their choice may change with each tick. */
struct freshness_sources {
    std::string first_follower; ///< IP of the first follower of the zone; empty: this host itself
    std::string second_peer;    ///< IP of another host of the zone; empty: there is none
    std::string other_zone;     ///< IP of a host of another zone; empty: there is none
    bool follows_store = false; ///< whether this host watches the store
};

/**
 * Keeps the proven moment: every version of the configuration that the store acknowledged before it
 * is the version of this host or older. Proofs come from calls to the store and from other hosts.
 * All moments are on the boot clock of this host; clocks of hosts are never compared.
 */
class config_freshness {
public:
    /**
     * @param withdrawal_max time after which no request with a withdrawn key may run; zero: no
     * bound, then the configuration always counts as fresh and nothing is asked.
     * @param first_nonce random, so that answers to an earlier process are not taken.
     */
    config_freshness(milliseconds withdrawal_max, std::uint64_t first_nonce)
        : withdrawal_max_(withdrawal_max), next_nonce_(first_nonce)
    {
    }

    /**
     * The store, or a peer, has named a later era. A new process can't tell whether the first era
     * that it hears of has just begun, so proofs of the store wait then too; those of peers don't.
     */
    void enter_era(store_era era, boot_time now);

    /** The store has delivered its configuration, of whatever version, in the current era. */
    void store_has(generation version) { store_version_ = version; }

    /** A configuration of this version is in force from now on. */
    void config_applied(generation version);

    /**
     * A call to the store has ended that proves that the configuration which the store delivered
     * last is the newest of those acknowledged before @p at.
     * @param era of the store, as the call named it.
     */
    void store_proved(boot_time at, store_era era);

    /** @return the answer, if there is any proof. */
    std::optional<outgoing_freshness_answer> on_query(std::string const& ip, std::uint64_t nonce,
                                                      boot_time now);
    void on_answer(std::uint64_t nonce, milliseconds offset, generation version, boot_time now);

    /** Call every 250 ms. */
    freshness_effects tick(freshness_sources const& sources, boot_time now);

    /** @return whether requests with keys may run now. */
    [[nodiscard]] bool fresh(boot_time now) const;

    /** @return time since the proven moment; nothing without any proof. */
    [[nodiscard]] std::optional<microseconds> proof_age(boot_time now) const;

    [[nodiscard]] bool bounded() const { return withdrawal_max_ > milliseconds{0}; }

    /// Covers the time from the check until the request is at the target, and drift of clocks.
    static constexpr milliseconds safety_margin{300};

private:
    struct received_query {
        std::uint64_t nonce = 0;
        boot_time received;
        boot_time answered;
        std::optional<boot_time> told; ///< proven moment of the last answer
    };
    struct held_answer {
        boot_time proven;
        generation version;
    };

    void prove(boot_time at);
    void query(std::vector<outgoing_freshness_query>& out, std::string const& ip, boot_time now);
    std::optional<outgoing_freshness_answer> answer(std::string const& ip, received_query& query,
                                                    boot_time now) const;

    milliseconds withdrawal_max_;
    std::uint64_t next_nonce_;
    generation version_;       ///< in force here
    generation store_version_; ///< delivered last by the store in this era
    store_era era_;
    boot_time era_counts_from_ = boot_time::min(); ///< earlier proofs of this era are not taken
    std::optional<boot_time> proven_;
    std::map<std::uint64_t, boot_time> sent_; ///< queries that may still be answered, by nonce
    std::vector<held_answer> held_;           ///< of versions that this host lacks
    std::map<std::string, received_query> received_; ///< last query of each host, by IP
    std::optional<boot_time> queried_;               ///< when the first follower was last queried
    std::optional<boot_time> queried_more_;          ///< when further hosts were last queried
    std::optional<boot_time> asked_store_;
};

} // namespace cove
