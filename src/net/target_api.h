#pragma once
/** @file HTTP paths between entry hosts and targets; see docs/callers.md. */

namespace cove::target_api {

inline constexpr char const* load_path = "/load";     ///< JSON: slots, in_flight, leaving
inline constexpr char const* health_path = "/health"; ///< 200 when healthy

} // namespace cove::target_api
