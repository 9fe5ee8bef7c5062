#pragma once
/** @file Tells whether this host has lost its links to all targets. */

#include "traffic/target_type.h"

#include <algorithm>
#include <optional>
#include <set>

namespace cove {

/** What a round of probes has shown. */
struct probe_round {
    std::size_t probes = 0;
    std::size_t reached = 0;
    std::size_t timed_out = 0;           ///< the rest was refused or failed
    std::optional<milliseconds> answer;  ///< age of the last answer of a target, if there was one
    std::optional<milliseconds> receipt; ///< age of the last bytes from a target, if any came
};

/**
 * Judges the links of this host to the targets.
 *
 * Several targets that fail while none answers, or that get no connection while none gets one,
 * raise a suspicion; then a round of probes to targets of all services and zones decides. If most
 * of them get no reply in time while bytes still arrive from targets, the links are only slow.
 * While cut off, the host goes on with such rounds, and after some good ones in a row it sends
 * requests directly again, a growing share of them. After cuts that follow each other soon, more
 * good rounds are needed.
 */
class reach_monitor {
public:
    /** An attempt at a target was not answered: no connection, a broken one, or silence. */
    void attempt_failed(std::uint32_t target, mono_time now);

    /** No connection to a target was established. */
    void connect_failed(std::uint32_t target, mono_time now);

    /** A target has answered. */
    void attempt_answered(mono_time now);

    /** A connection to a target was established. */
    void connected(mono_time now);

    /** @param targets number of all targets. @return whether to start a round of probes now. */
    [[nodiscard]] bool probes_due(std::size_t targets, mono_time now) const;

    /** A round of @p count probes has been started. */
    void probes_started(std::size_t count, mono_time now);

    /**
     * One probe of the round has ended.
     * @param timed_out it was not reached, and nothing refused it either.
     * @return whether cut_off() has changed.
     */
    bool probe_ended(bool reached, mono_time now, bool timed_out = false);

    /** Bytes came from a target. @param at when the last ones did. */
    void received(mono_time at) { last_received_ = std::max(last_received_, at); }

    /** @return whether all probes of the last round have ended. */
    [[nodiscard]] bool round_ended() const { return pending_ == 0; }

    /** @return the last round, as it stands now. */
    [[nodiscard]] probe_round round(mono_time now) const;

    /** @return whether the host is cut off from the targets. */
    [[nodiscard]] bool cut_off() const { return cut_off_; }

    /** @return the share of requests to be carried by other hosts, 0 to 1. */
    [[nodiscard]] double relay_share(mono_time now) const;

private:
    bool end_round(mono_time now);
    [[nodiscard]] bool contradicted() const;

    /** Targets that failed since the last success, by short hash. */
    struct failures {
        std::set<std::uint32_t> targets;
        mono_time last_success{};

        void add(std::uint32_t target, mono_time now);
        void succeeded(mono_time now);
        [[nodiscard]] bool suspicious(std::size_t all_targets, mono_time now) const;
    };

    failures answers_;
    failures connects_;
    mono_time last_round_{};
    std::size_t pending_ = 0; ///< probes of the current round
    std::size_t probes_ = 0;  ///< started in the current round
    std::size_t reached_ = 0; ///< of these
    std::size_t timed_out_ = 0;
    mono_time last_answer_{};
    mono_time last_received_{};
    int good_rounds_ = 0;   ///< in a row, while cut off
    int rounds_needed_ = 0; ///< of them, to end the cut
    bool cut_off_ = false;
    std::optional<mono_time> mended_; ///< end of the last cut
};

} // namespace cove
