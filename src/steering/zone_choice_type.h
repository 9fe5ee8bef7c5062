#pragma once
/** @file The zone chosen for a request. */

#include "core/ids_type.h"

namespace cove {

/** The zone that serves a request. */
struct zone_choice {
    zone_id zone;
    bool granted = false; ///< whether it uses a unit of a grant until release_zone()
};

} // namespace cove
