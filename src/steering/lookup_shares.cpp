/** @file Carries out planned moves by changing the look-up shares of the zone. */

#include "steering/steering_tick.h"

#include <algorithm>
#include <cmath>

namespace cove {

namespace {

/** Age at which a destination's answer is outdated; an unanswered request is then repeated. */
constexpr milliseconds check_timeout{2500};
constexpr double share_tolerance = 1e-9; ///< differences below this are rounding errors

/**
 * Continues from the shares in the previous leader's last summary and counts the whole cap as used,
 * because that leader's recent shifts are not known. Without a summary, starts from the planned
 * shares.
 */
void take_over_leadership(steering_state& state, node_view const& view)
{
    for (move_config const& move : view.config->moves) {
        service_steering& service = state.services[move.service];
        move_progress& progress = service.moves[move.id];
        if (!state.has_summary) {
            progress.share = planned_share(move, view.now.wall);
            continue;
        }
        assume_cap_used(service.limiter, view.config->shift, view.now.mono);
        auto const known = std::ranges::find_if(state.summary.shares, [&](zone_share const& s) {
            return s.service == move.service && s.zone == move.to;
        });
        progress.share = known == state.summary.shares.end() ? 0 : known->share;
    }
}

void log_hold_change(move_config const& move, move_progress const& progress, node_effects& effects)
{
    effects.emplace_back(log_line{progress.hold.active ? "move_held" : "move_released",
                                  {{"move", move.id.value},
                                   {"to", move.to.value},
                                   {"share", std::to_string(progress.share)}}});
}

/** Changes the share of @p move towards the allowed share, as far as the shift cap permits. */
void advance_move(service_steering& service, move_config const& move, node_view const& view)
{
    move_progress& progress = service.moves[move.id];
    double const allowed = allowed_share(progress.hold, move, view.disabled, view.now.wall);
    double const change = allowed - progress.share;
    if (std::abs(change) < share_tolerance) {
        return;
    }
    double const moved = acquire_shift(service.limiter, view.config->shift, view.disabled,
                                       view.now.mono, std::abs(change));
    progress.share += change < 0 ? -moved : moved;
}

/** Records whether the destination's last answer reported free capacity, and asks it again. */
void check_move(steering_state& state, node_view const& view, move_config const& move,
                node_effects& effects)
{
    service_steering& service = state.services[move.service];
    move_progress& progress = service.moves[move.id];
    grant_key const key{move.service, move.to};
    held_grant const& grant = state.holder.grants[key];
    bool const asked = grant.last_request_at.time_since_epoch().count() != 0;
    bool const answered = asked && view.now.mono - grant.last_answer_at < check_timeout;
    bool const room = answered && (grant.room > 0 || grant.units > 0);
    if (asked) {
        bool const held = progress.hold.active;
        record_check(progress.hold, room ? destination_check::good : destination_check::bad,
                     progress.share);
        if (held != progress.hold.active) {
            log_hold_change(move, progress, effects);
        }
    }
    auto const issuers = aggregators_of(view, move.to);
    if (!issuers.empty() &&
        (grant.pending_sequence == 0 || view.now.mono - grant.last_request_at > check_timeout)) {
        send_to(view, effects, issuers.front(),
                start_grant_request(state.holder, key, issuers.front(),
                                    std::max(grant.in_use, grant.peak_in_use), view.now.mono));
    }
}

bool starts_in_own_zone(move_config const& move, node_view const& view)
{
    return move.from == view.self.zone;
}

} // namespace

void advance_planned_moves(steering_state& state, node_view const& view, node_effects& /*effects*/)
{
    if (!state.is_leader) {
        take_over_leadership(state, view);
    }
    for (move_config const& move : view.config->moves) {
        if (starts_in_own_zone(move, view)) {
            advance_move(state.services[move.service], move, view);
        }
    }
}

void check_destinations(steering_state& state, node_view const& view, node_effects& effects)
{
    for (move_config const& move : view.config->moves) {
        bool const in_progress =
            view.now.wall >= move.start &&
            state.services[move.service].moves[move.id].share < move.share - share_tolerance;
        if (starts_in_own_zone(move, view) && in_progress) {
            check_move(state, view, move, effects);
        }
    }
}

} // namespace cove
