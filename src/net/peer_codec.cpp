#include "net/peer_codec.h"

#include "config/config_codec.h"
#include "membership/membership_codec.h"
#include "operation/operation_codec.h"
#include "proto/gen/bridge.pb.h"
#include "proto/gen/config.pb.h"
#include "proto/gen/lookup.pb.h"
#include "proto/gen/peer.pb.h"
#include "steering/steering_codec.h"

namespace cove {

std::string encode_envelope(peer_envelope const& envelope)
{
    wire::PeerEnvelope out;
    out.set_from(envelope.from.value);
    out.set_incarnation(envelope.incarnation.value);
    // The parts are a oneof: each mutable_ call clears the part that could not encode the message.
    [[maybe_unused]] bool const encoded =
        encode_operation(envelope.body, *out.mutable_operation()) ||
        encode_membership(envelope.body, *out.mutable_membership()) ||
        encode_steering(envelope.body, *out.mutable_steering()) ||
        encode_config(envelope.body, *out.mutable_config()) ||
        encode_bridge(envelope.body, *out.mutable_bridge());
    return out.SerializeAsString();
}

result<peer_envelope> decode_envelope(std::string_view bytes)
{
    wire::PeerEnvelope in;
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return fail("peer.decode", "",
                    "malformed peer envelope of " + std::to_string(bytes.size()) + " bytes");
    }
    std::optional<peer_message> body;
    if (in.has_operation()) {
        body = decode_operation(in.operation());
    }
    else if (in.has_membership()) {
        body = decode_membership(in.membership());
    }
    else if (in.has_steering()) {
        body = decode_steering(in.steering());
    }
    else if (in.has_config()) {
        body = decode_config(in.config());
    }
    else if (in.has_bridge()) {
        body = decode_bridge(in.bridge());
    }
    if (!body) {
        return fail("peer.decode", in.from(), "peer envelope without a known message");
    }
    return peer_envelope{node_id{in.from()}, incarnation_id{in.incarnation()}, std::move(*body)};
}

std::string encode_snapshot(lookup_snapshot const& snapshot, node_id const& publisher)
{
    wire::LookupSnapshot out;
    out.set_publisher(publisher.value);
    out.set_version(snapshot.version);
    out.set_lifetime_s(static_cast<std::uint32_t>(snapshot.lifetime.count()));
    for (lookup_entry const& entry : snapshot.entries) {
        auto& item = *out.add_entries();
        item.set_node(entry.node.value);
        item.set_zone(entry.zone.value);
        item.set_address(entry.address);
        item.set_incarnation(entry.incarnation.value);
        item.set_period(entry.period.value);
        item.set_weight(entry.weight);
    }
    return out.SerializeAsString();
}

result<published_snapshot> decode_snapshot(std::string_view bytes)
{
    wire::LookupSnapshot in;
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return fail("lookup.decode", "",
                    "malformed lookup snapshot of " + std::to_string(bytes.size()) + " bytes");
    }
    published_snapshot out;
    out.publisher = node_id{in.publisher()};
    out.snapshot.version = in.version();
    out.snapshot.lifetime = seconds(in.lifetime_s());
    for (auto const& item : in.entries()) {
        out.snapshot.entries.push_back({node_id{item.node()}, zone_id{item.zone()}, item.address(),
                                        incarnation_id{item.incarnation()},
                                        period_id{item.period()}, item.weight()});
    }
    return out;
}

} // namespace cove
