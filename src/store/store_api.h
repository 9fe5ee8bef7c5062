#pragma once
/** @file HTTP paths, headers and object names of the object store; see docs/object-store.md. */

namespace cove::store_api {

inline constexpr char const* object_prefix = "/v1/objects/";
inline constexpr char const* object_route = "/v1/objects/(.+)";
inline constexpr char const* calls_path = "/v1/calls";
inline constexpr char const* faults_path = "/v1/faults";
inline constexpr char const* version_header = "Cove-Version";
inline constexpr char const* condition_header = "If-Match";
inline constexpr char const* after_param = "after";
inline constexpr char const* wait_param = "wait_ms";

inline constexpr int ok_status = 200;
inline constexpr int not_changed_status = 304;
inline constexpr int invalid_status = 400;
inline constexpr int not_found_status = 404;
inline constexpr int conflict_status = 412;
inline constexpr int too_large_status = 413;
inline constexpr int unavailable_status = 503;

inline constexpr char const* manifest_object = "config/manifest";
inline constexpr char const* section_prefix = "config/sections/"; ///< + hash of the section's text
inline constexpr char const* history_prefix = "config/history/";  ///< + generation number
inline constexpr char const* host_list_object = "hosts";

} // namespace cove::store_api
