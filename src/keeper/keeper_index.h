#pragma once
/** @file Cached index of the targets of each zone and service with their keepers. */

#include "node/node_view.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace cove {

/** The targets of one service in one zone. */
struct target_group {
    zone_id zone;
    service_id service;
    auto operator<=>(target_group const&) const = default;
};

/** A target and its keeper. */
struct target_with_keeper {
    target_id target;
    node_id keeper;
    int keeper_target_count = 0; ///< number of targets of the group with this keeper
};

/** Targets by group; avoids a scan of all targets per request. */
struct keeper_index {
    /** Cached keepers of one group. */
    struct entry {
        std::vector<target_with_keeper> targets; ///< targets that accept new work, in id order
        std::uint64_t version = 0;               ///< membership version of this entry
        mono_time expires_at{}; ///< recomputed then, even without a membership change
    };
    std::uint64_t list_version = 0;
    std::map<target_group, std::vector<target_id>> groups;
    std::map<target_group, entry> entries;
};

/** @return the targets of @p group that accept new work, with their keepers, in id order. */
std::vector<target_with_keeper> const& keepers_of(keeper_index& index, node_view const& view,
                                                  target_group const& group);

/** @return whether @p target accepts new work. */
bool accepts_work(node_view const& view, target_id const& target);

} // namespace cove
