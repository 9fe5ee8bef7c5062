#pragma once
/** @file Parts of URIs. */

#include <string>
#include <string_view>

namespace cove {

/**
 * Encodes any bytes as one segment of a path or one value of a query (RFC 3986, 2.1).
 * @return @p text in which all but letters, digits and `-._~` are percent-encoded.
 */
std::string percent_encode(std::string_view text);

} // namespace cove
