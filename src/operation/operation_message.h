#pragma once
/** @file Messages between entry hosts that carry operations. */

#include "operation/answer_type.h"
#include "operation/operation_id.h"

#include <vector>

namespace cove {

/**
 * @return how long before the deadline an attempt that has not started is cancelled. This leaves
 * the keeper time to confirm that the attempt never starts.
 * @param timeout time left until the deadline.
 */
microseconds cancel_grace(microseconds timeout);

/** Relays a request that arrived at another entry host to the operation's home. */
struct relay_request {
    operation_id operation;
    service_id service;
    class_id request_class;
    microseconds timeout{}; ///< time left until the deadline
    payload body;
};

/** The home's final answer to a relayed request. */
struct relay_answer {
    operation_id operation;
    std::uint64_t fingerprint = 0; ///< of the answered request
    final_answer answer;
};

/** Hands one attempt of an operation to a keeper, which starts it on one of its targets. */
struct hand_over {
    operation_id operation;
    std::uint64_t attempt = 0; ///< identifies the hand-over together with the operation
    service_id service;
    class_id request_class;
    microseconds timeout{};
    payload body;
    incarnation_id keeper;   ///< the only incarnation of the keeper that may start it
    period_id keeper_period; ///< the keeper's latest period known to the home
};

/** Cancels an attempt; the keeper confirms that it has not started and never will. */
struct hand_over_cancel {
    operation_id operation;
    std::uint64_t attempt = 0;
    incarnation_id keeper;   ///< incarnation of the keeper that received the hand-over
    period_id keeper_period; ///< as in the hand-over
    bool abandon = false;    ///< cancel a running call as well
};

/** The keeper's result of a hand-over. */
struct hand_over_result {
    operation_id operation;
    std::uint64_t attempt = 0;
    final_answer answer;         ///< not_run if the attempt has not started and never will
    bool keeper_leaving = false; ///< refused only because the keeper is leaving
};

/** A finished operation, as sent to the successor at a planned stop. */
struct finished_record {
    operation_id operation;
    std::uint64_t fingerprint = 0;
    final_answer answer;
};

/** A chunk of the finished table of a stopping home. */
struct finished_records {
    incarnation_id home;
    std::uint64_t chunk = 0; ///< number of the chunk, starting at one
    std::vector<finished_record> records;
};

/** Acknowledges that a chunk of a finished table is stored. */
struct finished_records_ack {
    incarnation_id home;
    std::uint64_t chunk = 0;
};

/** Announces which peer answers for a home that stopped. */
struct successor_notice {
    incarnation_id home;
    node_id successor;
};

} // namespace cove
