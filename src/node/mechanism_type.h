#pragma once
/** @file Switches that disable one mechanism each, to show that the checks detect its absence. */

namespace cove {

/** All false in the programs; randomized simulation runs set one at a time. */
struct disabled_mechanisms {
    bool refutation = false;            ///< a suspected member does not refute the suspicion
    bool indirect_probes = false;       ///< a silent member is suspected without indirect probes
    bool leaving_dissemination = false; ///< leaving hosts are known from the host list only
    bool joining_repeats = false;  ///< a repeated operation runs again instead of joining the first
    bool generation_order = false; ///< any other generation is applied, even a lower one
    bool config_exchange = false;  ///< configuration is not offered to peers periodically
    bool retry_after_send_check = false; ///< non-idempotent operations retry after bytes were sent
    bool timeout_confirmation = false;   ///< a deadline without confirmation is reported as not run
    bool cancel_prevents_start = false; ///< a cancelled attempt starts if its hand-over comes later
    bool period_check = false;          ///< operations run even if their id is of a pruned period
    bool leaving_targets = false;       ///< leaving targets get new work
    bool graceful_stop = false;         ///< a stop request ends the process at once
    bool slot_limits = false;           ///< targets get more calls than they have slots
    bool grants = false;                ///< traffic is sent to other zones without their grant
    bool shift_cap = false;             ///< shifts of traffic are not capped
    bool move_pace = false;             ///< planned moves run ahead of schedule
    bool grant_expiry = false; ///< a grant is timed from its arrival, and used for too long
    bool link_budget = false;  ///< traffic between regions ignores the links' budgets
};

} // namespace cove
