#pragma once
/** @file Identifiers used throughout the system. */

#include "core/strong_type.h"

namespace cove {

using node_id = strong_name<struct node_tag>; ///< an entry host
using zone_id = strong_name<struct zone_tag>; ///< an availability zone
using region_id = strong_name<struct region_tag>;
using service_id = strong_name<struct service_tag>; ///< a service of the deployment
using class_id = strong_name<struct class_tag>;     ///< a request class of a service
using target_id = strong_name<struct target_tag>;
using site_id = strong_name<struct site_tag>; ///< a site that client blocks are directed to
using move_id = strong_name<struct move_tag>; ///< a planned move

using incarnation_id = strong_number<struct incarnation_tag>; ///< one run of an entry process
using period_id = strong_number<struct period_tag>;           ///< validity period of operation ids
using generation = strong_number<struct generation_tag>;      ///< configuration generation

} // namespace cove
