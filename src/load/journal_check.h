#pragma once
/** @file Compares outcomes reported to callers with the journals of the targets. */

#include "load/operation_log.h"

namespace cove {

/**
 * Counts of answers and violations.
 *
 * Idempotent requests are excluded from the checks against the journals, because entry hosts run
 * them under operation ids of their own.
 */
struct journal_check_result {
    std::uint64_t answers = 0;       ///< final answers, including lost ones
    std::uint64_t lost = 0;          ///< requests without a final answer
    std::uint64_t doubled = 0;       ///< non-idempotent intents started more than once
    std::uint64_t false_not_run = 0; ///< non-idempotent, reported `not_run` but started
    std::uint64_t false_done = 0;    ///< non-idempotent, reported `done` but never started
    std::uint64_t wrong_answer = 0;  ///< answer truncated or of another request
    std::uint64_t cut_off = 0; ///< non-idempotent, started and reported `unknown`; not a violation
    std::vector<std::string> examples; ///< descriptions of the first violations
};

/** @param operations the callers' log. @param journal the journal lines of all targets. */
journal_check_result check_journals(std::vector<operation_line> const& operations,
                                    std::vector<journal_line> const& journal);

} // namespace cove
