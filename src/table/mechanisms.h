#pragma once
/** @file Mechanisms that randomized test runs can disable, by name. */

#include "node/mechanism_type.h"

#include <array>

namespace cove {

/** One mechanism that can be disabled. */
struct mechanism_row {
    char const* name;                 ///< value of the option --break
    bool disabled_mechanisms::*field; ///< switch that disables the mechanism
    char const* guarantee;            ///< guarantee that is violated without the mechanism
};

inline constexpr std::array mechanism_table{
    mechanism_row{"run-repeats", &disabled_mechanisms::joining_repeats,
                  "a non-idempotent operation runs at most once"},
    mechanism_row{"generation-may-fall", &disabled_mechanisms::generation_order,
                  "an accepted configuration never reverts"},
    mechanism_row{"no-config-exchange", &disabled_mechanisms::config_exchange,
                  "an accepted configuration takes effect on every host within seconds"},
    mechanism_row{"retry-after-bytes-sent", &disabled_mechanisms::retry_after_send_check,
                  "a non-idempotent operation runs at most once"},
    mechanism_row{"not-run-on-timeout", &disabled_mechanisms::timeout_confirmation,
                  "an operation reported as not run did not run"},
    mechanism_row{"cancel-does-not-burn", &disabled_mechanisms::cancel_prevents_start,
                  "an operation reported as not run did not run"},
    mechanism_row{"run-expired-ids", &disabled_mechanisms::period_check,
                  "a non-idempotent operation runs at most once"},
    mechanism_row{"ignore-leaving-targets", &disabled_mechanisms::leaving_targets,
                  "a leaving target gets no new work"},
    mechanism_row{"stop-at-once", &disabled_mechanisms::graceful_stop,
                  "a planned stop aborts no request"},
    mechanism_row{"ignore-slots", &disabled_mechanisms::slot_limits,
                  "a target runs no more than its slots"},
    mechanism_row{"no-grants", &disabled_mechanisms::grants,
                  "no steering decision overloads a region"},
    mechanism_row{"uncapped-failover", &disabled_mechanisms::shift_cap,
                  "a shift of traffic stays under its cap"},
    mechanism_row{"move-runs-ahead", &disabled_mechanisms::move_pace,
                  "the share of a planned move does not exceed its plan"},
    mechanism_row{"sender-outlives-grant", &disabled_mechanisms::grant_expiry,
                  "no steering decision overloads a region"},
    mechanism_row{"ignore-link-budget", &disabled_mechanisms::link_budget,
                  "traffic between regions stays within the links' budgets"},
    mechanism_row{"no-refutation", &disabled_mechanisms::refutation,
                  "a zone counts its running members as live"},
    mechanism_row{"no-indirect-probe", &disabled_mechanisms::indirect_probes,
                  "a member that other members can reach is not suspected"},
    mechanism_row{"leaving-not-spread", &disabled_mechanisms::leaving_dissemination,
                  "a leaving target gets no new work after a few seconds"},
};

} // namespace cove
