#include "steering/planned_move.h"

#include "core/invariant.h"

#include <algorithm>

namespace cove {

namespace {

constexpr int checks_to_hold = 3;    ///< consecutive bad checks that hold a move
constexpr int checks_to_release = 6; ///< consecutive good checks that release it
/** Intervals that a move runs ahead of its plan if the mechanism move_pace is disabled. */
constexpr int steps_ahead = 3;

} // namespace

double planned_share(move_config const& move, wall_time now)
{
    if (now < move.start || move.interval <= seconds(0)) {
        return 0;
    }
    auto const steps = (now - move.start) / move.interval + 1;
    return std::clamp(static_cast<double>(steps) * move.step, 0.0,
                      std::clamp(move.share, 0.0, 1.0));
}

void record_check(move_hold& hold, destination_check check, double share_in_force)
{
    bool const bad = check == destination_check::bad;
    hold.consecutive_bad = bad ? hold.consecutive_bad + 1 : 0;
    hold.consecutive_good = bad ? 0 : hold.consecutive_good + 1;
    if (!hold.active && hold.consecutive_bad >= checks_to_hold) {
        hold.active = true;
        hold.held_share = share_in_force;
    }
    else if (hold.active && hold.consecutive_good >= checks_to_release) {
        hold.active = false;
    }
}

double allowed_share(move_hold const& hold, move_config const& move,
                     disabled_mechanisms const& disabled, wall_time now)
{
    double const plan = planned_share(move, now);
    double allowed = hold.active ? std::min(hold.held_share, plan) : plan;
    if (disabled.move_pace) {
        allowed = planned_share(move, now + steps_ahead * move.interval);
    }
    require_invariant(allowed <= plan, "the share of a planned move does not exceed its plan");
    return allowed;
}

} // namespace cove
