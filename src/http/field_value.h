#pragma once
/** @file Values of header fields. */

#include <string_view>

namespace cove {

/**
 * @return whether @p text arrives unchanged as the value of a header field: it is not empty, has no
 * control characters and no blank at its ends (RFC 9110, 5.5).
 */
bool is_field_value(std::string_view text);

} // namespace cove
