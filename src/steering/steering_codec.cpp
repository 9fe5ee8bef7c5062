#include "steering/steering_codec.h"

#include "proto/gen/steering.pb.h"

namespace cove {

namespace {

void write_load(service_load const& load, wire::ServiceLoad& out)
{
    out.set_service(load.service.value);
    out.set_slots(load.slots);
    out.set_own(load.own);
    out.set_foreign(load.foreign);
    out.set_queued(load.queued);
    out.set_grantable(load.grantable);
}

service_load read_load(wire::ServiceLoad const& in)
{
    return {
        service_id{in.service()}, in.slots(), in.own(), in.foreign(), in.queued(), in.grantable()};
}

void write_summary(zone_summary const& summary, wire::ZoneSummary& out)
{
    out.set_leader(summary.leader.value);
    out.set_sequence(summary.sequence);
    for (service_load const& load : summary.services) {
        write_load(load, *out.add_services());
    }
    for (zone_share const& share : summary.shares) {
        auto& w = *out.add_shares();
        w.set_service(share.service.value);
        w.set_zone(share.zone.value);
        w.set_share(share.share);
    }
}

peer_message read_report(wire::LoadReport const& in)
{
    load_report out;
    for (auto const& load : in.services()) {
        out.services.push_back(read_load(load));
    }
    return out;
}

peer_message read_summary(wire::ZoneSummary const& in)
{
    zone_summary out;
    out.leader = node_id{in.leader()};
    out.sequence = in.sequence();
    for (auto const& load : in.services()) {
        out.services.push_back(read_load(load));
    }
    for (auto const& w : in.shares()) {
        out.shares.push_back({service_id{w.service()}, zone_id{w.zone()}, w.share()});
    }
    return out;
}

} // namespace

bool encode_steering(peer_message const& message, wire::SteeringMessage& out)
{
    if (auto const* report = std::get_if<load_report>(&message)) {
        auto& w = *out.mutable_load_report();
        for (service_load const& load : report->services) {
            write_load(load, *w.add_services());
        }
    }
    else if (auto const* summary = std::get_if<zone_summary>(&message)) {
        write_summary(*summary, *out.mutable_zone_summary());
    }
    else if (auto const* request = std::get_if<grant_request>(&message)) {
        auto& w = *out.mutable_grant_request();
        w.set_sequence(request->sequence);
        w.set_service(request->service.value);
        w.set_wanted(request->wanted);
    }
    else if (auto const* answer = std::get_if<grant_answer>(&message)) {
        auto& w = *out.mutable_grant_answer();
        w.set_sequence(answer->sequence);
        w.set_service(answer->service.value);
        w.set_units(answer->units);
        w.set_lifetime_ms(answer->lifetime.count());
        w.set_room(answer->room);
    }
    else if (auto const* returned = std::get_if<grant_return>(&message)) {
        auto& w = *out.mutable_grant_return();
        w.set_sequence(returned->sequence);
        w.set_service(returned->service.value);
        w.set_keep(returned->keep);
    }
    return out.body_case() != wire::SteeringMessage::BODY_NOT_SET;
}

std::optional<peer_message> decode_steering(wire::SteeringMessage const& in)
{
    switch (in.body_case()) {
    case wire::SteeringMessage::kLoadReport:
        return read_report(in.load_report());
    case wire::SteeringMessage::kZoneSummary:
        return read_summary(in.zone_summary());
    case wire::SteeringMessage::kGrantRequest: {
        auto const& w = in.grant_request();
        return grant_request{w.sequence(), service_id{w.service()}, w.wanted()};
    }
    case wire::SteeringMessage::kGrantAnswer: {
        auto const& w = in.grant_answer();
        return grant_answer{w.sequence(), service_id{w.service()}, w.units(),
                            milliseconds(w.lifetime_ms()), w.room()};
    }
    case wire::SteeringMessage::kGrantReturn: {
        auto const& w = in.grant_return();
        return grant_return{w.sequence(), service_id{w.service()}, w.keep()};
    }
    case wire::SteeringMessage::BODY_NOT_SET:
        break;
    }
    return std::nullopt;
}

} // namespace cove
