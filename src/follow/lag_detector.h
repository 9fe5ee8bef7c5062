#pragma once
/** @file Detects that this host's copies of the store's data lag behind those of its peers. */

#include "core/time_type.h"
#include "follow/known_versions_type.h"

#include <optional>

namespace cove {

/**
 * Decides when to pull from a peer. In a large fleet the list of targets changes all the time, so
 * some peer is always ahead. To limit the number of pulls, which fetch everything, a host pulls
 * only if it has missed the same change for some time.
 */
class lag_detector {
public:
    /** @param min_pull_interval between pulls; an answer that takes longer is lost. */
    explicit lag_detector(milliseconds min_pull_interval = default_min_pull_interval)
        : min_pull_interval_(min_pull_interval)
    {
    }

    /**
     * @param own versions of this host.
     * @param newest newest versions that any peer reports.
     * @param pull_delay how long a change may be missing, while a watch or a push may still deliver
     * it, before it is pulled.
     * @return whether to pull from a peer now.
     */
    bool should_pull(known_versions const& own, known_versions const& newest,
                     milliseconds pull_delay, mono_time now);

    /** Tells of the newest versions that a peer has, so that the delay of a pull counts from now.
     */
    void note(known_versions const& own, known_versions const& newest, mono_time now);

    /** Tells that no peer has newer data. */
    void up_to_date() { missing_versions_.reset(); }

    /** Tells that the last pull will not be answered. */
    void not_answered() { last_pull_ = {}; }

    /** @return whether the answer to the last pull, if there was one, may still come. */
    [[nodiscard]] bool answer_may_come(mono_time now) const
    {
        return now - last_pull_ < min_pull_interval_;
    }

    static constexpr milliseconds default_min_pull_interval{1000};

private:
    milliseconds min_pull_interval_;
    std::optional<known_versions> missing_versions_; ///< versions that a peer had at missing_since_
    mono_time missing_since_{};
    mono_time last_pull_{};
    generation pulled_config_; ///< version that the last pull asked for
};

} // namespace cove
