#pragma once
/** @file The list of targets, as received from the store or from peers. */

#include "traffic/target_type.h"

#include <map>
#include <optional>
#include <vector>

namespace cove {

/**
 * Keeps the list of targets with the highest store revision and ignores older lists. While the
 * store recovers from an outage, removed entries are kept for a grace period, because the store may
 * not have accepted the reports of these targets yet.
 */
class target_list {
public:
    /**
     * @param heartbeat interval between the reports of a target.
     * @param drain time within which a removed target must be out of use.
     */
    target_list(milliseconds heartbeat, milliseconds drain);

    /** Replaces the list unless @p at is older than its revision. @return whether it changed. */
    bool replace(std::vector<target_entry> const& entries, revision at, mono_time now);

    /** Adds or updates one entry. @return whether the list changed. */
    bool put(target_entry const& entry);

    /**
     * Removes one entry, after the grace period if the store is recovering from an outage.
     * @return whether it was removed now.
     */
    bool remove(target_id const& id, mono_time now);

    /** Raises the revision of the list to @p at. */
    void advance(revision at);

    /** Starts the grace period: the store answers again after an outage. */
    void store_recovered(mono_time now);

    /** Removes entries whose grace period has ended. @return these entries. */
    std::vector<target_id> expire(mono_time now);

    [[nodiscard]] std::vector<target_entry> entries() const;
    [[nodiscard]] revision current_revision() const { return revision_; }

private:
    milliseconds recovery_grace_;
    std::map<target_id, target_entry> entries_;
    std::map<target_id, mono_time> pending_removals_; ///< when each entry is removed
    std::optional<mono_time> store_recovered_at_;
    revision revision_;
};

} // namespace cove
