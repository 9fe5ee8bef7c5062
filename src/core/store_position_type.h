#pragma once
/** @file States of the platform's store, as named in its answers. */

#include "core/strong_type.h"

namespace cove {

/**
 * Rises each time that the store comes back from an older copy of its data; 0 if the store names
 * none or it is not known.
 */
using store_era = strong_number<struct store_era_tag>;
/** Counts the changes of the store's data. A later era gives the same numbers out again. */
using revision = strong_number<struct revision_tag>;

/** A state of the store's data: a later era is newer, whatever its revision. */
struct store_position {
    store_era era;
    revision at;

    auto operator<=>(store_position const&) const = default;
};

} // namespace cove
