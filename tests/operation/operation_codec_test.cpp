#include "operation/operation_codec.h"

#include "proto/gen/operation.pb.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

using namespace cove;

operation_id any_id()
{
    return {incarnation_id{*rc::gen::arbitrary<std::uint64_t>()},
            period_id{*rc::gen::arbitrary<std::uint64_t>()}, *rc::gen::arbitrary<std::uint64_t>()};
}

final_answer any_answer()
{
    final_answer answer;
    answer.result = *rc::gen::element(outcome::done, outcome::not_run, outcome::unknown);
    answer.status = *rc::gen::inRange(0, 600);
    answer.body = make_payload(*rc::gen::arbitrary<std::string>());
    answer.retry_after = milliseconds(*rc::gen::inRange(0, 100000));
    answer.step = *rc::gen::arbitrary<std::string>();
    answer.peer = *rc::gen::arbitrary<std::string>();
    answer.reason = *rc::gen::arbitrary<std::string>();
    return answer;
}

/** Encodes and decodes @p sent; compares the encoded form, since payloads are shared pointers. */
template <class Message>
void check_round_trip(Message const& sent)
{
    wire::OperationMessage out;
    RC_ASSERT(encode_operation(sent, out));
    wire::OperationMessage in;
    RC_ASSERT(in.ParseFromString(out.SerializeAsString()));
    auto const got = decode_operation(in);
    RC_ASSERT(got.has_value());
    RC_ASSERT(std::holds_alternative<Message>(*got));
    wire::OperationMessage again;
    RC_ASSERT(encode_operation(*got, again));
    RC_ASSERT(again.SerializeAsString() == out.SerializeAsString());
}

RC_GTEST_PROP(operation_codec, every_message_round_trips, ())
{
    auto const number = [] { return *rc::gen::arbitrary<std::uint64_t>(); };
    auto const text = [] { return *rc::gen::arbitrary<std::string>(); };
    microseconds const timeout(*rc::gen::inRange(0, 1'000'000'000));
    auto const body = make_payload(text());
    check_round_trip(relay_request{any_id(), service_id{text()}, class_id{text()}, timeout, body});
    check_round_trip(relay_answer{any_id(), number(), any_answer()});
    check_round_trip(hand_over{any_id(), number(), service_id{text()}, class_id{text()}, timeout,
                               body, incarnation_id{number()}, period_id{number()}});
    check_round_trip(hand_over_cancel{any_id(), number(), incarnation_id{number()},
                                      period_id{number()}, *rc::gen::arbitrary<bool>()});
    check_round_trip(
        hand_over_result{any_id(), number(), any_answer(), *rc::gen::arbitrary<bool>()});
    check_round_trip(
        finished_records{incarnation_id{number()}, number(), {{any_id(), number(), any_answer()}}});
    check_round_trip(finished_records_ack{incarnation_id{number()}, number()});
    check_round_trip(successor_notice{incarnation_id{number()}, node_id{text()}});
}

TEST(operation_codec, fields_are_not_swapped)
{
    hand_over const sent{{incarnation_id{1}, period_id{2}, 3},
                         4,
                         service_id{"s"},
                         class_id{"c"},
                         milliseconds(5),
                         make_payload("b"),
                         incarnation_id{6},
                         period_id{7}};
    wire::OperationMessage out;
    ASSERT_TRUE(encode_operation(sent, out));
    auto const got = std::get<hand_over>(*decode_operation(out));
    EXPECT_EQ(got.operation, sent.operation);
    EXPECT_EQ(got.attempt, 4U);
    EXPECT_EQ(got.keeper, incarnation_id{6});
    EXPECT_EQ(got.keeper_period, period_id{7});
    hand_over_cancel const cancel{sent.operation, 4, incarnation_id{6}, period_id{7}, true};
    ASSERT_TRUE(encode_operation(cancel, out));
    auto const decoded_cancel = std::get<hand_over_cancel>(*decode_operation(out));
    EXPECT_EQ(decoded_cancel.keeper, incarnation_id{6});
    EXPECT_EQ(decoded_cancel.keeper_period, period_id{7});
    EXPECT_TRUE(decoded_cancel.abandon);
}

} // namespace
