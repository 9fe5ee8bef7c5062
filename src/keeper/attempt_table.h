#pragma once
/** @file Recent attempts at a keeper, so that none starts twice or after it was refused. */

#include "operation/operation_message.h"

#include <deque>
#include <memory>
#include <unordered_map>
#include <vector>

namespace cove {

/** One attempt of an operation. */
struct attempt_id {
    operation_id operation;
    std::uint64_t attempt = 0;
    auto operator<=>(attempt_id const&) const = default;
};

} // namespace cove

template <>
struct std::hash<cove::attempt_id> {
    std::size_t operator()(cove::attempt_id const& id) const noexcept
    {
        return std::hash<cove::operation_id>{}(id.operation) + id.attempt;
    }
};

namespace cove {

enum class attempt_phase { queued, running, ended };

/** State of an attempt. */
struct attempt_entry {
    attempt_phase phase = attempt_phase::queued;
    std::uint64_t call = 0;                   ///< key of the running call
    std::unique_ptr<hand_over_result> result; ///< set once ended, unless evicted
};

/**
 * The attempts of the last periods. A hand-over contains the keeper's period known to its home; if
 * that period is older than the table, the table can't tell whether the attempt has run, so it is
 * never started.
 */
struct attempt_table {
    /** The attempts added in one period. */
    struct bucket {
        period_id period;
        std::vector<attempt_id> attempts;
    };
    std::unordered_map<attempt_id, attempt_entry> entries;
    std::deque<bucket> buckets;     ///< oldest first
    period_id period{1};            ///< the keeper's current period
    std::deque<attempt_id> results; ///< attempts with a stored result, oldest first
    std::size_t result_bytes = 0;
};

/** @return the attempt, or null if it is not in the table. */
attempt_entry* find_attempt(attempt_table& table, attempt_id const& id);

/** @return whether attempts of a message from @p period may have been removed from the table. */
bool is_stale(attempt_table const& table, period_id period);

/** Adds a new attempt. @return its entry, or null if the table is full. */
attempt_entry* add_attempt(attempt_table& table, attempt_id const& id);

/** Marks an attempt as ended and stores its result for repeated messages. */
void end_attempt(attempt_table& table, hand_over_result const& result);

/**
 * Starts a new period. Removes ended attempts of periods from which messages are no longer
 * accepted.
 */
void advance_attempts(attempt_table& table, period_id period);

} // namespace cove
