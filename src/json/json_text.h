#pragma once
/** @file Parses JSON from other programs, which may be malformed or nested without bound. */

#include "core/error.h"

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace cove {

/// Deepest nesting of lists and objects that is parsed. Copying, printing and comparing a value
/// recurse and would exhaust the stack.
inline constexpr int max_json_depth = 64;

/** @return how deep lists and objects are nested in @p text, which need not be valid. */
int nesting_depth(std::string_view text);

/** @return the JSON value in @p text, or an error. @param source file or peer, for the error. */
result<nlohmann::json> parse_json(std::string_view text, std::string const& source);

/**
 * Parses @p text of which parts may be malformed, nested too deep or out of range. Such a part
 * becomes null, so that it does not cost its siblings.
 * @param levels of lists and objects whose parts are parsed one by one if the whole is not valid;
 * with 2, a malformed member of an object in a list becomes null.
 */
nlohmann::json salvage_json(std::string_view text, int levels);

} // namespace cove
