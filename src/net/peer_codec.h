#pragma once
/** @file Serialization of the messages between processes. */

#include "core/error.h"
#include "node/node_effect.h"

#include <string>
#include <string_view>

namespace cove {

/** @return the serialized @p envelope. */
std::string encode_envelope(peer_envelope const& envelope);

/** @return the envelope in @p bytes, or an error. */
result<peer_envelope> decode_envelope(std::string_view bytes);

/** @return the serialized @p snapshot. @param publisher entry host that publishes it. */
std::string encode_snapshot(lookup_snapshot const& snapshot, node_id const& publisher);

/** A look-up snapshot and the entry host that published it. */
struct published_snapshot {
    node_id publisher;
    lookup_snapshot snapshot;
};

/** @return the snapshot in @p bytes, or an error. */
result<published_snapshot> decode_snapshot(std::string_view bytes);

} // namespace cove
