#pragma once
/** @file Names and values of header fields. */

#include <string_view>

namespace cove {

/** @return whether @p text is the name of a header field: a token (RFC 9110, 5.1 and 5.6.2). */
bool is_field_name(std::string_view text);

/**
 * @return whether @p text arrives unchanged as the value of a header field: it is not empty, has no
 * control characters and no space at its ends (RFC 9110, 5.5).
 */
bool is_field_value(std::string_view text);

} // namespace cove
