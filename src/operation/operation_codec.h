#pragma once
/** @file Encodes and decodes operation messages as protobuf. */

#include "node/peer_message.h"

#include <optional>

namespace cove::wire {
class OperationMessage;
}

namespace cove {

/** Encodes @p message into @p out. @return false if it is not an operation message. */
bool encode_operation(peer_message const& message, wire::OperationMessage& out);

/** @return the decoded message, or nothing if @p in has no body. */
std::optional<peer_message> decode_operation(wire::OperationMessage const& in);

} // namespace cove
