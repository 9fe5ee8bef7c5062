#include "membership/membership_codec.h"

#include "proto/gen/membership.pb.h"

namespace cove {

namespace {

template <class... Handlers>
struct overloaded : Handlers... {
    using Handlers::operator()...;
};
template <class... Handlers>
overloaded(Handlers...) -> overloaded<Handlers...>;

void write(member_update const& update, wire::MemberWord& w)
{
    w.set_node(update.node.value);
    w.set_zone(update.zone.value);
    w.set_incarnation(update.incarnation.value);
    w.set_epoch(update.epoch);
    w.set_sequence(update.sequence);
    w.set_period(update.period.value);
    w.set_health(static_cast<std::uint32_t>(update.health));
    w.set_leaving(update.leaving);
    w.set_caller_address(update.caller_address);
    w.set_peer_address(update.peer_address);
}

member_update read(wire::MemberWord const& w)
{
    auto const health = w.health() > 2 ? member_health::dead : member_health(w.health());
    return {node_id{w.node()},
            zone_id{w.zone()},
            incarnation_id{w.incarnation()},
            w.epoch(),
            w.sequence(),
            period_id{w.period()},
            health,
            w.leaving(),
            w.caller_address(),
            w.peer_address()};
}

void write(leaving_update const& update, wire::LeavingWord& w)
{
    w.set_id(update.id);
    w.set_target(update.target);
    w.set_own(update.self_reported);
    w.set_leaving(update.leaving);
    w.set_version(update.version);
}

leaving_update read(wire::LeavingWord const& w)
{
    return {w.id(), w.target(), w.own(), w.leaving(), w.version()};
}

/** @param with_zone false for a zone digest, which names the zone once for all members. */
void write_updates(std::vector<member_update> const& updates, bool with_zone,
                   google::protobuf::RepeatedPtrField<wire::MemberWord>& out)
{
    for (member_update const& update : updates) {
        write(update, *out.Add());
        if (!with_zone) {
            out.rbegin()->clear_zone();
        }
    }
}

template <class Updates>
void write_leaving(std::vector<leaving_update> const& updates, Updates& out)
{
    for (leaving_update const& update : updates) {
        write(update, *out.Add());
    }
}

template <class Update, class Updates>
std::vector<Update> read_all(Updates const& in)
{
    std::vector<Update> updates;
    for (auto const& w : in) {
        updates.push_back(read(w));
    }
    return updates;
}

void write(gossip const& m, wire::Gossip& w)
{
    write(m.sender, *w.mutable_sender());
    write_updates(m.members, true, *w.mutable_members());
    write_leaving(m.leaving, *w.mutable_leaving());
    w.set_view_hash(m.view_hash);
}

gossip read(wire::Gossip const& w)
{
    return {read(w.sender()), read_all<member_update>(w.members()),
            read_all<leaving_update>(w.leaving()), w.view_hash()};
}

void write(zone_digest const& m, wire::ZoneDigest& w)
{
    w.set_zone(m.zone.value);
    write_updates(m.members, false, *w.mutable_members());
    w.set_first_hop(m.first_hop);
    for (node_id const& id : m.relay_to) {
        w.add_relay_to(id.value);
    }
}

zone_digest read(wire::ZoneDigest const& w)
{
    zone_digest out{zone_id{w.zone()}, read_all<member_update>(w.members()), w.first_hop(), {}};
    for (member_update& update : out.members) {
        update.zone = out.zone;
    }
    for (auto const& id : w.relay_to()) {
        out.relay_to.emplace_back(id);
    }
    return out;
}

} // namespace

bool encode_membership(peer_message const& message, wire::MembershipMessage& out)
{
    return std::visit(
        overloaded{
            [&](probe const& m) {
                out.mutable_probe()->set_number(m.number);
                out.mutable_probe()->set_origin(m.origin.value);
                write(m.piggyback, *out.mutable_probe()->mutable_news());
                return true;
            },
            [&](probe_ack const& m) {
                out.mutable_probe_ack()->set_number(m.number);
                out.mutable_probe_ack()->set_origin(m.origin.value);
                out.mutable_probe_ack()->set_subject(m.subject.value);
                write(m.piggyback, *out.mutable_probe_ack()->mutable_news());
                return true;
            },
            [&](indirect_probe const& m) {
                out.mutable_indirect_probe()->set_number(m.number);
                out.mutable_indirect_probe()->set_subject(m.subject.value);
                write(m.piggyback, *out.mutable_indirect_probe()->mutable_news());
                return true;
            },
            [&](view_request const&) {
                out.mutable_view_request();
                return true;
            },
            [&](view_reply const& m) {
                write_updates(m.members, true, *out.mutable_view_reply()->mutable_members());
                write_leaving(m.leaving, *out.mutable_view_reply()->mutable_leaving());
                return true;
            },
            [&](zone_digest const& m) {
                write(m, *out.mutable_zone_digest());
                return true;
            },
            [](auto const&) { return false; },
        },
        message);
}

std::optional<peer_message> decode_membership(wire::MembershipMessage const& in)
{
    switch (in.body_case()) {
    case wire::MembershipMessage::kProbe:
        return probe{in.probe().number(), node_id{in.probe().origin()}, read(in.probe().news())};
    case wire::MembershipMessage::kProbeAck:
        return probe_ack{in.probe_ack().number(), node_id{in.probe_ack().origin()},
                         node_id{in.probe_ack().subject()}, read(in.probe_ack().news())};
    case wire::MembershipMessage::kIndirectProbe:
        return indirect_probe{in.indirect_probe().number(), node_id{in.indirect_probe().subject()},
                              read(in.indirect_probe().news())};
    case wire::MembershipMessage::kViewRequest:
        return view_request{};
    case wire::MembershipMessage::kViewReply:
        return view_reply{read_all<member_update>(in.view_reply().members()),
                          read_all<leaving_update>(in.view_reply().leaving())};
    case wire::MembershipMessage::kZoneDigest:
        return read(in.zone_digest());
    case wire::MembershipMessage::BODY_NOT_SET:
        break;
    }
    return std::nullopt;
}

} // namespace cove
