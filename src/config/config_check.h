#pragma once
/** @file Consistency checks between the parts of a configuration, and its normal form. */

#include "config/deployment_type.h"

namespace cove {

/** Throws a format_error for the first part of @p config that is inconsistent with the others. */
void check_deployment(deployment const& config);

/**
 * Brings a configuration into the normal form, which is compared, printed and split: all regions
 * are listed, sites and client blocks are sorted, and client blocks are distributed over lists by
 * a hash of their prefix.
 */
void normalize(deployment& config);

/** @return when @p move has shifted its whole share. */
wall_time end_time(move_config const& move);

} // namespace cove
