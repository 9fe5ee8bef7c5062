#pragma once
/** @file HTTP names and status codes between callers and entry hosts; see docs/callers.md. */

namespace cove::caller_api {

inline constexpr char const* lookup_path = "/v1/lookup";
inline constexpr char const* request_path = "/v1/request";
inline constexpr char const* cancel_path = "/v1/cancel";
inline constexpr char const* metrics_path = "/metrics";
inline constexpr char const* status_path = "/v1/status";

inline constexpr char const* service_header = "Cove-Service";
inline constexpr char const* class_header = "Cove-Class";
inline constexpr char const* timeout_header = "Cove-Timeout-Ms"; ///< remaining whole milliseconds
inline constexpr char const* operation_header = "Cove-Operation-Id";
inline constexpr char const* outcome_header = "Cove-Outcome"; ///< done, not_run or unknown
inline constexpr char const* retry_after_ms_header = "Cove-Retry-After-Ms";
inline constexpr char const* step_header = "Cove-Step"; ///< step at which a request was refused
inline constexpr char const* peer_header = "Cove-Peer"; ///< the other party of the step

/** In a target's response: it did not start to process the request. */
inline constexpr char const* not_started_header = "Cove-Not-Started";

inline constexpr int not_run_status = 503;
inline constexpr int unknown_status = 504;
inline constexpr int bad_request_status = 400;

} // namespace cove::caller_api
