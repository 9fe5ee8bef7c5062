#pragma once
/** @file Digests of a zone's members for other zones. Only a few members of a zone send them. */

#include "node/node_view.h"

namespace cove {

/** Applies another zone's digest and forwards it within the own zone. */
void on_zone_digest(membership_state& state, node_view const& view, zone_digest const& digest,
                    node_effects& effects);

/**
 * Sends the own zone's digest when it is due, expires the members of zones that no longer send
 * digests, and removes unlisted members that have expired or have been dead for long.
 */
void on_digest_wake(membership_state& state, node_view const& view, node_effects& effects);

/** @return when on_digest_wake() must be called next. */
mono_time next_digest_wake(membership_state const& state);

} // namespace cove
