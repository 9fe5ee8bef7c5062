#pragma once
/** @file Percent-encoding of URI components. */

#include <string>
#include <string_view>

namespace cove {

/**
 * Percent-encodes @p text, which may be any bytes, for a path segment or a query value.
 * @return @p text with all bytes but letters, digits and `-._~` encoded (RFC 3986, 2.1).
 */
std::string percent_encode(std::string_view text);

} // namespace cove
