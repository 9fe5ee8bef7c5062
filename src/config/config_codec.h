#pragma once
/** @file Encoding and decoding of configuration and bridge messages. */

#include "node/peer_message.h"

#include <optional>

namespace cove::wire {
class ConfigMessage;
class BridgeMessage;
} // namespace cove::wire

namespace cove {

/** Writes @p message into @p out. @return false when it is not a configuration message. */
bool encode_config(peer_message const& message, wire::ConfigMessage& out);

/** @return the message in @p in, or nothing when it is empty. */
std::optional<peer_message> decode_config(wire::ConfigMessage const& in);

/** Writes @p message into @p out. @return false when it is not a bridge message. */
bool encode_bridge(peer_message const& message, wire::BridgeMessage& out);

/** @return the message in @p in, or nothing when it is empty or its host list is malformed. */
std::optional<peer_message> decode_bridge(wire::BridgeMessage const& in);

} // namespace cove
