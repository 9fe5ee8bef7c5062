#pragma once
/** @file What the traffic reducer wants done. */

#include "traffic/traffic_event.h"

#include <string>

namespace cove {

/** Send the request to a target. */
struct send_attempt {
    request_id id;
    target_id target;
    service_id service;
    std::string address;
    milliseconds time_left{}; ///< for the target to answer
    bool may_repeat = false;  ///< a failure of the connection costs no more than a repeat
};

/** End the attempt under way; its result is not wanted. */
struct cancel_attempt {
    request_id id;
};

/** Pass on what the target answered. */
struct deliver_answer {
    request_id id;
};

/** Why this host answers by itself. */
enum class refusal {
    no_room,     ///< not run, never will be: come back
    no_target,   ///< not run, never will be: nothing serves it here
    gave_up,     ///< may have run: the time is over
    lost_answer, ///< may have run: the target's answer is lost
};

/** Answer without a target. */
struct answer_self {
    request_id id;
    refusal reason = refusal::no_room;
    milliseconds come_back{}; ///< for refusals that promise "not run"
    int attempts = 0;         ///< made before, for the log
    milliseconds held{};      ///< since it arrived, for the log
};

using traffic_effect = std::variant<send_attempt, cancel_attempt, deliver_answer, answer_self>;
using traffic_effects = std::vector<traffic_effect>;

} // namespace cove
