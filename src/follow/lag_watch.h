#pragma once
/** @file Notices that this host's copies stay behind those of its peers. */

#include "core/time_type.h"
#include "follow/known_versions_type.h"

#include <optional>

namespace cove {

/**
 * Answers the load of a large fleet, whose list of targets changes all the time: some peer is then
 * always ahead, but only a host that misses the same change for a while has to ask for all.
 */
class lag_watch {
public:
    /**
     * @param best the newest that peers say they have. @param patience until a change that came
     * neither by watch nor by push is asked for.
     * @return whether to ask a peer now.
     */
    bool ask_now(known_versions const& own, known_versions const& best, milliseconds patience,
                 mono_time now);

private:
    std::optional<known_versions> missed_; ///< what a peer had at since_
    mono_time since_{};
    mono_time asked_at_{};
};

} // namespace cove
