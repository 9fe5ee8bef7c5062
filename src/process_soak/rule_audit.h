#pragma once
/** @file Checks the rules of the platform on the record of a run. */

#include "process_soak/run_record_type.h"

namespace cove {

/** One broken rule. */
struct rule_violation {
    std::string rule;
    std::string attempt; ///< of the request
    std::string detail;
};

/** @return all violations, in the order of the requests. */
std::vector<rule_violation> audit_run(run_record const& record, rule_bounds const& bounds);

} // namespace cove
