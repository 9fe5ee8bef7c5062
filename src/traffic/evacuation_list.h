#pragma once
/** @file The evacuated zones, as received from the store or from peers. */

#include "core/ids_type.h"
#include "core/store_position_type.h"
#include "core/time_type.h"

#include <set>
#include <utility>
#include <vector>

namespace cove {

/**
 * Keeps the evacuations at the latest position of the store and ignores older ones. When the store
 * has come back from an older copy, an evacuation that the copy lacks goes on for a grace period,
 * because its operator will order it again.
 */
class evacuation_list {
public:
    /** Replaces the list unless @p at is older than its position. @return whether zones() changed.
     */
    bool replace(std::set<zone_id> const& listed, store_position at, mono_time now);

    /**
     * Applies changes up to @p at that follow on from the list; older ones are ignored.
     * @param changes with each zone, whether its evacuation began.
     * @return whether they were applied.
     */
    bool change(std::vector<std::pair<zone_id, bool>> const& changes, store_position at);

    /** Ends the grace period. @return whether zones() changed. */
    bool expire(mono_time now);

    /** @return the zones whose targets get no requests. */
    [[nodiscard]] std::set<zone_id> zones() const;

    /** @return the evacuations that the store lists. */
    [[nodiscard]] std::set<zone_id> const& listed() const { return listed_; }

    [[nodiscard]] store_position position() const { return position_; }

private:
    std::set<zone_id> listed_;
    std::set<zone_id> held_; ///< in force before the store came back, and missing in its copy
    mono_time held_until_{};
    store_position position_;
};

} // namespace cove
