#pragma once
/** @file State that every subsystem may read, and functions for sending and refusing. */

#include "core/random.h"
#include "membership/membership.h"
#include "node/mechanism_type.h"
#include "node/node_effect.h"

#include <memory>

namespace cove {

struct steering_state;

/** Identity of this process. */
struct node_identity {
    node_id id;
    zone_id zone;
    incarnation_id incarnation;   ///< drawn at random at each start
    std::string caller_address{}; ///< IP:port that callers reach by HTTP
    std::string peer_address{};   ///< IP:port that peers reach by ZeroMQ
};

/** What a subsystem may read while it handles one event. */
struct node_view {
    instant now;
    node_identity const& self;
    deployment const* config = nullptr; ///< null until a configuration is known
    membership_state const& members;
    random_engine& random;
    disabled_mechanisms const& disabled;
    steering_state* steering = nullptr; ///< for choose_zone(); null when there is no steering
};

/**
 * Sends a message to a peer. One to this node itself is handled within the same reduce() call.
 * @param view gives the address of the receiver.
 * @param effects receives the send effect.
 * @param to the receiver; nothing is sent if it has no known address.
 * @param body the message.
 */
void send_to(node_view const& view, node_effects& effects, node_id const& to, peer_message body);

/** @return a Retry-After between @p base and twice that, chosen at random. */
microseconds spread_retry_after(random_engine& random, microseconds base);

/** @return the answer to a request that did not run and will not run. */
final_answer refuse(node_view const& view, std::string step, std::string peer, std::string reason);

/** @return the answer to a request that may have run and will not run again. */
final_answer unknown_outcome(std::string step, std::string peer, std::string reason);

} // namespace cove
