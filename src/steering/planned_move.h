#pragma once
/** @file Planned moves: the share moved follows wall time; nodes may delay but never exceed it. */

#include "config/deployment_type.h"
#include "node/mechanism_type.h"

namespace cove {

/** @return the share of the origin's traffic that @p move should have moved by @p now. */
double planned_share(move_config const& move, wall_time now);

/** Result of a check of a move's destination. */
enum class destination_check {
    good,
    bad, ///< the destination reported no free capacity or did not answer in time
};

/** Stops a move while the checks of its destination fail. */
struct move_hold {
    int consecutive_bad = 0;
    int consecutive_good = 0;
    bool active = false;
    double held_share = 0; ///< share at which the move stopped
};

/** Counts the result of a check; consecutive bad or good results start or end the hold. */
void record_check(move_hold& hold, destination_check check, double share_in_force);

/** @return the share that the move may reach now: as planned, or less while it is held. */
double allowed_share(move_hold const& hold, move_config const& move,
                     disabled_mechanisms const& disabled, wall_time now);

} // namespace cove
