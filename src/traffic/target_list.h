#pragma once
/** @file The list of targets, from the store or from peers; it only moves forward. */

#include "traffic/target_type.h"

#include <map>
#include <optional>
#include <vector>

namespace cove {

/**
 * Keeps the newest list. Entries that vanish while the store recovers from an outage are kept for
 * a moment: their reports may just not have been taken.
 */
class target_list {
public:
    /** @param heartbeat between a target's reports. @param drain bound for leaving targets. */
    target_list(milliseconds heartbeat, milliseconds drain);

    /** Replaces the list unless it is older. @return whether anything changed. */
    bool replace(std::vector<target_entry> const& entries, revision at, mono_time now);

    /** Takes over one entry of a change up to @p at. */
    void put(target_entry const& entry);

    /** Takes out one entry. */
    void remove(target_id const& id, mono_time now);

    /** The list stands at @p at now. */
    void advance(revision at);

    /** The store answers again after an outage. */
    void store_returned(mono_time now);

    /** Drops entries that did not come back in time. @return whether there were any. */
    bool expire(mono_time now);

    [[nodiscard]] std::vector<target_entry> entries() const;
    [[nodiscard]] revision at() const { return at_; }

private:
    milliseconds restore_time_;
    std::map<target_id, target_entry> entries_;
    std::map<target_id, mono_time> missing_; ///< when each is given up
    std::optional<mono_time> returned_at_;
    revision at_;
};

} // namespace cove
