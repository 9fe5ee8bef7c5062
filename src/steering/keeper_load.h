#pragma once
/** @file Capacity and load of the targets that this entry host dispatches to. */

#include "keeper/keeper.h"
#include "steering/steering_message.h"

namespace cove {

/** @return the load of the targets that this entry host is the keeper of, by service id. */
std::vector<service_load> keeper_loads(keeper_state const& keeper, node_view const& view);

} // namespace cove
