#pragma once
/** @file Fair shares of workspaces of the same priority while capacity is scarce. */

#include "core/time_type.h"
#include "workspace/workspace_type.h"

#include <map>
#include <unordered_map>

namespace cove {

/**
 * Tells which workspaces have had their fair share of the requests of one service: equal shares of
 * what is served, where those that ask for less leave the rest to the others, but for each at least
 * a part of what all get relative to what they ask. Requests without workspace share as one
 * workspace.
 */
class workspace_shares {
public:
    /** A request of @p workspace arrived. */
    void asked(int priority, workspace_id const& workspace, mono_time now);

    /** A request of @p workspace was sent to a target. */
    void served(int priority, workspace_id const& workspace, mono_time now);

    /** @return whether others of the same priority come first. Recomputed every 100 ms. */
    [[nodiscard]] bool beyond(int priority, workspace_id const& workspace, mono_time now);

private:
    /** Requests of one workspace, of which older ones count less. */
    struct account {
        double asked = 0;
        double served = 0;
        mono_time since{}; ///< to which the two were decayed
        bool beyond = false;
    };
    using accounts = std::unordered_map<workspace_id, account>;

    account& at(int priority, workspace_id const& workspace, mono_time now);
    void recompute(mono_time now);

    std::map<int, accounts> accounts_; ///< by priority
    mono_time recomputed_{};
};

} // namespace cove
