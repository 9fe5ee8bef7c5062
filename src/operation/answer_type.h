#pragma once
/** @file The final answer to a request. */

#include "core/payload_type.h"
#include "core/time_type.h"

#include <string>

namespace cove {

/** Outcome of a request. */
enum class outcome {
    done,    ///< the target answered completely
    not_run, ///< certain never to have started, and never will
    unknown, ///< may have run once; will not run again
};

/** The final answer to a request. */
struct final_answer {
    outcome result = outcome::not_run;
    int status = 0;             ///< the target's HTTP status if done
    payload body;               ///< the target's response body if done
    microseconds retry_after{}; ///< when to try again; zero if not applicable
    std::string step;           ///< processing step that refused or failed
    std::string peer;           ///< peer, target or service involved in that step
    std::string reason;         ///< human-readable reason

    bool operator==(final_answer const&) const = default;
};

/** @return `done`, `not_run` or `unknown`. */
char const* to_string(outcome what);

} // namespace cove
