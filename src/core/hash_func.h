#pragma once
/** @file Stable hashes: equal input gives the same hash on every host and in every build. */

#include <cstdint>
#include <string>
#include <string_view>

namespace cove {

/** @return a stable 64-bit hash of @p text mixed with @p seed. */
std::uint64_t stable_hash(std::string_view text, std::uint64_t seed = 0);

/** @return a stable 64-bit hash of @p value mixed with @p seed. */
std::uint64_t stable_hash(std::uint64_t value, std::uint64_t seed);

/** @return the SHA-256 of @p text as 64 lower-case hex digits. */
std::string content_hash(std::string_view text);

} // namespace cove
