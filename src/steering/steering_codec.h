#pragma once
/** @file Converts steering messages to and from their Protocol Buffers form. */

#include "node/peer_message.h"

#include <optional>

namespace cove::wire {
class SteeringMessage;
}

namespace cove {

/** Writes @p message into @p out. @return false if it is not a steering message. */
bool encode_steering(peer_message const& message, wire::SteeringMessage& out);

/** @return the message in @p in, or nothing when @p in holds none. */
std::optional<peer_message> decode_steering(wire::SteeringMessage const& in);

} // namespace cove
