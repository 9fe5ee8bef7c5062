#pragma once
/** @file All messages that one entry process may send to another. */

#include "config/config_message.h"
#include "membership/membership_message.h"
#include "operation/operation_message.h"
#include "steering/steering_message.h"

#include <variant>

namespace cove {

using peer_message =
    std::variant<relay_request, relay_answer, hand_over, hand_over_cancel, hand_over_result,
                 finished_records, finished_records_ack, successor_notice, probe, probe_ack,
                 indirect_probe, view_request, view_reply, zone_digest, config_offer, config_fetch,
                 config_manifest, config_sections, bridge_role, bridge_host_list, load_report,
                 zone_summary, grant_request, grant_answer, grant_return>;

/** A message with its sender. */
struct peer_envelope {
    node_id from;
    incarnation_id incarnation; ///< the sender's
    peer_message body;
};

} // namespace cove
