#pragma once
/** @file Effects: actions that the reducer asks its event loop to perform. */

#include "node/node_event.h"

#include <string>
#include <utility>
#include <vector>

namespace cove {

/** Send a message to a peer; it may be lost. */
struct send_peer {
    node_id to;
    std::string address; ///< the peer's IP:port
    peer_message body;
};

/** Call a target. */
struct call_target {
    call_key key = 0;
    target_id target;
    std::string address;
    service_id service;
    class_id request_class;
    operation_id operation;
    microseconds timeout{};
    payload body;
};

/** Abandon a call; its result still arrives. */
struct cancel_call {
    call_key key = 0;
};

/** Send a waiting caller the final answer. */
struct reply {
    request_key key = 0;
    final_answer answer;
    service_id service;
    class_id request_class;
    microseconds latency{}; ///< since the request arrived at this entry host
};

/** Deliver a wake_due event at this time, or earlier. */
struct wake_at {
    mono_time at;
};

/** Write a line to the log. */
struct log_line {
    std::string event;
    std::vector<std::pair<std::string, std::string>> fields;
};

/** One entry host in a look-up answer. */
struct lookup_entry {
    node_id node;
    zone_id zone;
    std::string address;
    incarnation_id incarnation;
    period_id period;
    double weight = 1;
    bool operator==(lookup_entry const&) const = default;
};

/** The data that look-up processes answer from. */
struct lookup_snapshot {
    std::uint64_t version = 0;
    seconds lifetime{};
    std::vector<lookup_entry> entries;
    std::vector<zone_share> shares; ///< shares of the zone's callers that go to other zones
    bool operator==(lookup_snapshot const&) const = default;
};

/** Replace the snapshot that look-up processes answer from. */
struct publish_lookup {
    std::shared_ptr<lookup_snapshot const> snapshot;
};

/** The graceful stop is complete; the process may exit. */
struct stop_complete {};

using node_effect = std::variant<send_peer, call_target, cancel_call, reply, wake_at, log_line,
                                 publish_lookup, stop_complete>;
using node_effects = std::vector<node_effect>;

} // namespace cove
