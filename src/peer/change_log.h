#pragma once
/** @file The latest changes of the list of targets, for hosts that have missed a few of them. */

#include "peer/peer_message.h"

#include <deque>

namespace cove {

/**
 * Keeps the changes of the list of targets that led to this host's copy. The position of a copy
 * also rises without a change, each time that the store is asked; hosts therefore tell each other
 * at which position the list last changed.
 */
class change_log {
public:
    /** The copy was replaced by a list that last changed at @p changed. */
    void restart(store_position changed);

    /** @p changes were applied to the copy. */
    void add(target_changes const& changes);

    /** @return the position of the last change. */
    [[nodiscard]] store_position changed_at() const { return changed_at_; }

    /**
     * @param to position of the copy.
     * @return all changes after @p from, or nothing if some of them are no longer kept.
     */
    [[nodiscard]] std::optional<target_changes> since(store_position from, store_position to) const;

private:
    std::deque<target_changes> kept_; ///< in their order, each with at least one change
    std::size_t kept_changes_ = 0;    ///< in all of them
    store_position complete_from_;    ///< no change after it is missing in kept_
    store_position changed_at_;
};

} // namespace cove
