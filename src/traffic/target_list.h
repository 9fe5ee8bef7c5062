#pragma once
/** @file The list of targets, as received from the store or from peers. */

#include "traffic/traffic_event.h"

#include <map>
#include <optional>
#include <vector>

namespace cove {

/**
 * Keeps the list of targets at the latest position of the store and ignores older lists. While the
 * store recovers from an outage, removed entries are kept for a grace period, because the store may
 * not have accepted the reports of these targets yet. When the store has come back from an older
 * copy, what was known before about the end of a target holds until the target's next report is
 * due.
 */
class target_list {
public:
    /**
     * @param heartbeat interval between the reports of a target.
     * @param drain time within which a removed target must be out of use.
     */
    target_list(milliseconds heartbeat, milliseconds drain);

    /** Replaces the list unless @p at is older than its position. @return whether it changed. */
    bool replace(std::vector<target_entry> const& entries, store_position at, mono_time now);

    /** Applies changes in their order. @return their result for each target that has changed. */
    targets_changed apply(std::vector<target_change> const& changes, mono_time now);

    /** Adds or updates one entry. @return whether the list changed. */
    bool put(target_entry const& entry);

    /**
     * Removes one entry, after the grace period if the store is recovering from an outage.
     * @return whether it was removed now.
     */
    bool remove(target_id const& id, mono_time now);

    /** Keeps an entry for the given time although the store does not list it. */
    void hold(held_target const& target, mono_time now);

    /** Raises the position of the list to @p at. */
    void advance(store_position at);

    /** Starts the grace period: the store answers again after an outage. */
    void store_recovered(mono_time now);

    /** Ends the periods for which entries were held or doubted. @return what has changed. */
    targets_changed expire(mono_time now);

    /** @return the entries as they are to be used. */
    [[nodiscard]] std::vector<target_entry> entries() const;

    /** @return the entries as the store has them, and those that are held. */
    [[nodiscard]] std::vector<target_entry> listed_entries() const;

    /** @return the entries that the store does not list any more. */
    [[nodiscard]] std::vector<held_target> held(mono_time now) const;

    [[nodiscard]] store_position position() const { return position_; }

private:
    /** A removed target. */
    struct removed_target {
        target_incarnation incarnation;
        mono_time removed_at{};
    };
    /** What the older copy of the store says of a target that is known to leave or to have left. */
    struct doubted_entry {
        target_entry listed;
        mono_time until{};
    };

    [[nodiscard]] target_entry reconcile(target_entry const& listed) const;
    void erase(target_id const& id, mono_time now);

    milliseconds recovery_grace_;
    milliseconds report_deadline_; ///< after the store's return, for a target that lives
    std::map<target_id, target_entry> entries_;
    std::map<target_id, mono_time> pending_removals_; ///< when each entry is removed
    std::map<target_id, doubted_entry> doubted_;
    std::map<target_id, removed_target> removed_; ///< lately
    std::optional<mono_time> store_recovered_at_;
    store_position position_;
};

} // namespace cove
