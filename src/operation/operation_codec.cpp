#include "operation/operation_codec.h"

#include "proto/gen/operation.pb.h"

namespace cove {

namespace {

void encode(operation_id const& id, wire::OperationId& out)
{
    out.set_home(id.home.value);
    out.set_period(id.period.value);
    out.set_nonce(id.nonce);
}

operation_id decode(wire::OperationId const& in)
{
    return {incarnation_id{in.home()}, period_id{in.period()}, in.nonce()};
}

void encode(final_answer const& answer, wire::FinalAnswer& out)
{
    out.set_outcome(static_cast<unsigned>(answer.result));
    out.set_status(answer.status);
    out.set_body(bytes_of(answer.body));
    out.set_retry_after_us(static_cast<std::uint64_t>(answer.retry_after.count()));
    out.set_step(answer.step);
    out.set_peer(answer.peer);
    out.set_reason(answer.reason);
}

final_answer decode(wire::FinalAnswer const& in)
{
    final_answer answer;
    answer.result = in.outcome() > static_cast<unsigned>(outcome::unknown)
                        ? outcome::unknown
                        : static_cast<outcome>(in.outcome());
    answer.status = in.status();
    answer.body = make_payload(in.body());
    answer.retry_after = microseconds(in.retry_after_us());
    answer.step = in.step();
    answer.peer = in.peer();
    answer.reason = in.reason();
    return answer;
}

void encode_body(relay_request const& m, wire::OperationMessage& out)
{
    auto& w = *out.mutable_relay_request();
    encode(m.operation, *w.mutable_operation());
    w.set_service(m.service.value);
    w.set_request_class(m.request_class.value);
    w.set_timeout_us(m.timeout.count());
    w.set_body(bytes_of(m.body));
}

void encode_body(relay_answer const& m, wire::OperationMessage& out)
{
    encode(m.operation, *out.mutable_relay_answer()->mutable_operation());
    encode(m.answer, *out.mutable_relay_answer()->mutable_answer());
    out.mutable_relay_answer()->set_fingerprint(m.fingerprint);
}

void encode_body(hand_over const& m, wire::OperationMessage& out)
{
    auto& w = *out.mutable_hand_over();
    encode(m.operation, *w.mutable_operation());
    w.set_attempt(m.attempt);
    w.set_service(m.service.value);
    w.set_request_class(m.request_class.value);
    w.set_timeout_us(m.timeout.count());
    w.set_body(bytes_of(m.body));
    w.set_keeper(m.keeper.value);
    w.set_keeper_period(m.keeper_period.value);
}

void encode_body(hand_over_cancel const& m, wire::OperationMessage& out)
{
    auto& w = *out.mutable_hand_over_cancel();
    encode(m.operation, *w.mutable_operation());
    w.set_attempt(m.attempt);
    w.set_keeper(m.keeper.value);
    w.set_keeper_period(m.keeper_period.value);
    w.set_abandon(m.abandon);
}

void encode_body(hand_over_result const& m, wire::OperationMessage& out)
{
    auto& w = *out.mutable_hand_over_result();
    encode(m.operation, *w.mutable_operation());
    w.set_attempt(m.attempt);
    encode(m.answer, *w.mutable_answer());
    w.set_keeper_leaving(m.keeper_leaving);
}

void encode_body(finished_records const& m, wire::OperationMessage& out)
{
    auto& w = *out.mutable_finished_records();
    w.set_home(m.home.value);
    w.set_chunk(m.chunk);
    for (finished_record const& record : m.records) {
        auto& r = *w.add_records();
        encode(record.operation, *r.mutable_operation());
        r.set_fingerprint(record.fingerprint);
        encode(record.answer, *r.mutable_answer());
    }
}

void encode_body(finished_records_ack const& m, wire::OperationMessage& out)
{
    out.mutable_finished_records_ack()->set_home(m.home.value);
    out.mutable_finished_records_ack()->set_chunk(m.chunk);
}

void encode_body(successor_notice const& m, wire::OperationMessage& out)
{
    out.mutable_heir_notice()->set_home(m.home.value);
    out.mutable_heir_notice()->set_heir(m.successor.value);
}

finished_records decode(wire::FinishedRecords const& in)
{
    finished_records out{incarnation_id{in.home()}, in.chunk(), {}};
    for (auto const& r : in.records()) {
        out.records.push_back({decode(r.operation()), r.fingerprint(), decode(r.answer())});
    }
    return out;
}

} // namespace

bool encode_operation(peer_message const& message, wire::OperationMessage& out)
{
    return std::visit(
        [&](auto const& m) {
            if constexpr (requires { encode_body(m, out); }) {
                encode_body(m, out);
                return true;
            }
            else {
                return false;
            }
        },
        message);
}

std::optional<peer_message> decode_operation(wire::OperationMessage const& in)
{
    switch (in.body_case()) {
    case wire::OperationMessage::kRelayRequest: {
        auto const& w = in.relay_request();
        return relay_request{decode(w.operation()), service_id{w.service()},
                             class_id{w.request_class()}, microseconds(w.timeout_us()),
                             make_payload(w.body())};
    }
    case wire::OperationMessage::kRelayAnswer:
        return relay_answer{decode(in.relay_answer().operation()), in.relay_answer().fingerprint(),
                            decode(in.relay_answer().answer())};
    case wire::OperationMessage::kHandOver: {
        auto const& w = in.hand_over();
        return hand_over{decode(w.operation()),        w.attempt(),
                         service_id{w.service()},      class_id{w.request_class()},
                         microseconds(w.timeout_us()), make_payload(w.body()),
                         incarnation_id{w.keeper()},   period_id{w.keeper_period()}};
    }
    case wire::OperationMessage::kHandOverCancel: {
        auto const& w = in.hand_over_cancel();
        return hand_over_cancel{decode(w.operation()), w.attempt(), incarnation_id{w.keeper()},
                                period_id{w.keeper_period()}, w.abandon()};
    }
    case wire::OperationMessage::kHandOverResult: {
        auto const& w = in.hand_over_result();
        return hand_over_result{decode(w.operation()), w.attempt(), decode(w.answer()),
                                w.keeper_leaving()};
    }
    case wire::OperationMessage::kFinishedRecords:
        return decode(in.finished_records());
    case wire::OperationMessage::kFinishedRecordsAck:
        return finished_records_ack{incarnation_id{in.finished_records_ack().home()},
                                    in.finished_records_ack().chunk()};
    case wire::OperationMessage::kHeirNotice:
        return successor_notice{incarnation_id{in.heir_notice().home()},
                                node_id{in.heir_notice().heir()}};
    case wire::OperationMessage::BODY_NOT_SET:
        break;
    }
    return std::nullopt;
}

} // namespace cove
