#pragma once
/** @file Encoding and decoding of membership messages. */

#include "node/peer_message.h"

#include <optional>

namespace cove::wire {
class MembershipMessage;
}

namespace cove {

/** Writes @p message into @p out. @return false when it is not a membership message. */
bool encode_membership(peer_message const& message, wire::MembershipMessage& out);

/** @return the message in @p in, or nothing when it is empty or invalid. */
std::optional<peer_message> decode_membership(wire::MembershipMessage const& in);

} // namespace cove
