#pragma once
/** @file Effects: actions that the traffic reducer requests from its caller. */

#include "traffic/reach_monitor.h"
#include "traffic/traffic_event.h"

#include <string>

namespace cove {

/** Send the request to a target. No other send of it is in progress. */
struct send_attempt {
    target_attempt attempt;
    service_id service;
    std::string address;
    milliseconds time_left{}; ///< until the target must have answered
    bool idempotent = false;  ///< may run twice, so a broken connection costs only a retry
};

/** Why a send is withdrawn before its end. */
enum class withdrawal {
    overdue,     ///< its answer is probably lost; the request is sent again
    cut_off,     ///< this host has lost its links to all targets; other hosts carry the request
    client_left, ///< nobody waits for the answer
    time_limit,  ///< the time of the request is over
    stop,        ///< this host stops and has to answer now
    host_failed, ///< an error in this host has ended the handling of the request
};

/** Cancel an attempt or a relay and discard its result, unless it has ended already. */
struct cancel_attempt {
    send_id id;
    withdrawal reason = withdrawal::overdue;
    milliseconds running_for{};               ///< since the send began
    std::optional<milliseconds> stopping_for; ///< since the stop was announced; unset: it was not
    std::optional<milliseconds> cut_off_for;  ///< since the links were found lost; unset: they work
};

/** Forward the answer of the target to the client. */
struct deliver_answer {
    request_id id;
};

/** Why this host answers instead of a target. */
enum class refusal {
    no_room,     ///< not run and will not be; the client may retry
    no_target,   ///< not run and will not be; no target is available here
    gave_up,     ///< may have run; the time limit has passed
    lost_answer, ///< may have run; the answer of the target was lost
    blocked,     ///< targets that ran the request have ended; it is sent to no more of them
};

/** Answer the client without an answer of a target. */
struct answer_locally {
    request_id id;
    refusal reason = refusal::no_room;
    /// Delay before a client retry; for refusals that guarantee "not run".
    milliseconds retry_after{};
    int attempts = 0;       ///< number of attempts made, for the log
    milliseconds elapsed{}; ///< time since the request arrived, for the log
};

/** Report to all other hosts under which requests targets have ended. */
struct report_crashes {
    std::vector<crash_record> records;
};

/** Log that a request is blocked from now on. */
struct log_blocked_request {
    crash_record record;
};

/** Let another host carry the request. No other send of it is in progress. */
struct relay_request {
    send_id id;
    std::string address; ///< IP:port of the host
    milliseconds time_left{};
    bool idempotent = false;
    int attempts_left = 1; ///< number of targets that the other host may send it to, 1 or more
};

/** Test whether the target takes connections, and report it with probe_ended. */
struct probe_target {
    target_id target;
    std::string address;
};

/** A round of probes has ended. */
struct links_probed {
    probe_round round;
};

/** This host has lost its links to all targets, or has them again. */
struct links_changed {
    bool cut_off = false;
};

using traffic_effect =
    std::variant<send_attempt, cancel_attempt, deliver_answer, answer_locally, report_crashes,
                 log_blocked_request, relay_request, probe_target, links_probed, links_changed>;
using traffic_effects = std::vector<traffic_effect>;

} // namespace cove
