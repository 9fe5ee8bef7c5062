#pragma once
/** @file Reads the load that a target reports in a field of its answers. */

#include "traffic/target_type.h"

namespace cove {

/**
 * @param text `running,waiting,slots` or `running,waiting,slots,slowness`, the last in percent of
 * the usual time.
 * @return nullopt if one of the first three is not an integer. A fourth figure that is no finite
 * number above 0 is ignored.
 */
std::optional<target_load> read_load_field(std::string const& text);

} // namespace cove
