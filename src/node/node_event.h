#pragma once
/** @file Events that the reducer handles. */

#include "config/deployment_type.h"
#include "membership/host_list_type.h"
#include "node/peer_message.h"

#include <memory>
#include <optional>

namespace cove {

using request_key = std::uint64_t; ///< a caller's request waiting at this entry host
using call_key = std::uint64_t;    ///< a call to a target

/** A caller's request arrived. */
struct caller_request {
    request_key key = 0;
    std::optional<operation_id> operation; ///< required for non-idempotent classes
    service_id service;
    class_id request_class;
    microseconds timeout{}; ///< time left until the caller's deadline
    payload body;
};

/** The caller no longer waits. */
struct caller_cancel {
    request_key key = 0;
};

/** How far a call to a target got. */
enum class call_verdict {
    answered,    ///< the complete answer was received
    not_started, ///< no byte was written, or the target said that it did not start
    broken,      ///< bytes may have been written, but no complete answer came
};

/** A call to a target ended. */
struct call_result {
    call_key key = 0;
    call_verdict verdict = call_verdict::broken;
    int status = 0;
    payload body;
    std::string error; ///< human-readable
};

/** State that a target reports of itself or through its endpoints. It may be late or wrong. */
struct target_report {
    target_id target;
    bool healthy = true;
    bool leaving = false; ///< the target takes no new work
    int in_flight = 0;    ///< reported requests in flight
    int limit = 0;        ///< reported request limit; zero when not reported
};

/** The time of the earliest requested wake-up has come. */
struct wake_due {};

/** A newer host list was received. */
struct host_list_changed {
    std::shared_ptr<host_list const> hosts;
};

/** A newer configuration was received. */
struct config_changed {
    generation number;
    std::shared_ptr<deployment const> config;
};

/** A graceful stop was requested. */
struct stop_requested {};

using node_event_body =
    std::variant<wake_due, caller_request, caller_cancel, call_result, target_report, peer_envelope,
                 host_list_changed, config_changed, stop_requested>;

/** An event, and the time of both clocks when it happened. */
struct node_event {
    instant at;
    node_event_body body;
};

} // namespace cove
