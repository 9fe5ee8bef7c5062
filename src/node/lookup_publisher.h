#pragma once
/** @file Publishes the snapshots that look-up processes answer from. */

#include "node/node.h"

namespace cove {

/**
 * Publishes a snapshot when it is due. It lists the own zone's live entry hosts and a few hosts of
 * some other zones, so that its size does not grow with the fleet. Only the aggregators of a zone
 * publish.
 */
void publish_snapshot(node_state& state, instant now, node_effects& effects);

} // namespace cove
