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
    /**
     * @param own versions of this host.
     * @param newest newest versions that any peer reports.
     * @param pull_delay how long a change may be missing, while a watch or a push may still deliver
     * it, before it is pulled.
     * @return whether to pull from a peer now.
     */
    bool should_pull(known_versions const& own, known_versions const& newest,
                     milliseconds pull_delay, mono_time now);

    /** Tells that no peer has newer data. */
    void up_to_date() { missing_versions_.reset(); }

private:
    std::optional<known_versions> missing_versions_; ///< versions that a peer had at missing_since_
    mono_time missing_since_{};
    mono_time last_pull_{};
    generation pulled_config_; ///< version that the last pull asked for
};

} // namespace cove
