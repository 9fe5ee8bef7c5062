#pragma once
/** @file Positions of the store for tests. */

#include "core/store_position_type.h"

namespace cove {

/** @return a position in the first era of a store, or in another @p era. */
inline store_position position(std::uint64_t at, std::uint64_t era = 1)
{
    return {store_era(era), revision(at)};
}

} // namespace cove
