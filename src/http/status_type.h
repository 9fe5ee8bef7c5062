#pragma once
/** @file Ranges of HTTP status codes. */

namespace cove {

inline constexpr unsigned first_status = 100;
inline constexpr unsigned last_status = 599;        ///< RFC 9110, 15: others are invalid
inline constexpr unsigned first_final_status = 200; ///< responses with a lower one are interim

} // namespace cove
