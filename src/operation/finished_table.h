#pragma once
/** @file Final answers of operations, stored by period so that duplicates get the same answer. */

#include "operation/answer_type.h"
#include "operation/operation_id.h"

#include <map>
#include <unordered_map>

namespace cove {

/** The final answer of one operation. */
struct finished_operation {
    std::uint64_t fingerprint = 0; ///< of the request
    final_answer answer;
};

/** The finished operations of one incarnation. */
struct finished_table {
    std::map<period_id, std::unordered_map<std::uint64_t, finished_operation>> periods;
    std::size_t bytes = 0; ///< estimated memory use of the records
    std::size_t count = 0;
};

/** @return the finished operation @p id, or null if not stored. */
finished_operation const* find_finished(finished_table const& table, operation_id const& id);

/** Stores the final answer of @p id, unless one is already stored. */
void store_finished(finished_table& table, operation_id const& id, finished_operation record);

/** Removes all operations of periods before @p oldest. */
void prune_finished(finished_table& table, period_id oldest);

/** @return the estimated memory use of @p record in bytes. */
std::size_t bytes_of_record(finished_operation const& record);

} // namespace cove
