#pragma once
/** @file Failure detection in the own zone: direct and indirect probes, suspicion, death. */

#include "node/node_view.h"

namespace cove {

/** Answers a probe. */
void on_probe(membership_state& state, node_view const& view, node_id const& from,
              probe const& request, node_effects& effects);

/** Handles the answer to a probe; forwards it when the probe was for another member. */
void on_probe_ack(membership_state& state, node_view const& view, node_id const& from,
                  probe_ack const& ack, node_effects& effects);

/** Probes a member on behalf of another one. */
void on_indirect_probe(membership_state& state, node_view const& view, node_id const& from,
                       indirect_probe const& request, node_effects& effects);

/** Sends a member the full view of the zone. */
void on_view_request(membership_state& state, node_view const& view, node_id const& from,
                     node_effects& effects);

/** Applies another member's full view of the zone. */
void on_view_reply(membership_state& state, node_view const& view, view_reply const& reply);

/** Updates this process' own entry and queues it for sending if its period or leaving changed. */
void update_own_member(membership_state& state, node_view const& view, period_id period,
                       bool leaving);

/** Sends due probes, suspects members that did not answer and declares old suspects dead. */
void on_probe_wake(membership_state& state, node_view const& view, node_effects& effects);

/** @return when on_probe_wake() must be called next. */
mono_time next_probe_wake(membership_state const& state);

} // namespace cove
