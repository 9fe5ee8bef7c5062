#pragma once
/** @file ZeroMQ transport between processes, with a thread of its own. */

#include "core/error.h"
#include "core/time_type.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <zmq.hpp>

namespace cove {

/** Addresses and message handler of a peer_transport. */
struct peer_transport_options {
    std::string listen_address;                      ///< IP:port for peers; empty to send only
    std::string publish_address;                     ///< IP:port for subscribers; empty for none
    std::function<void(std::string bytes)> received; ///< called from the transport's thread
};

/**
 * Sends and receives whole messages. All network sockets belong to the transport's own thread;
 * callers hand messages to it over an in-process queue. Queues are bounded: a message to a peer
 * whose queue is full is dropped.
 */
class peer_transport {
public:
    explicit peer_transport(peer_transport_options options);
    ~peer_transport();
    peer_transport(peer_transport const&) = delete;
    peer_transport& operator=(peer_transport const&) = delete;
    peer_transport(peer_transport&&) = delete;
    peer_transport& operator=(peer_transport&&) = delete;

    /** Binds and starts the thread. @return the error if that fails. */
    result<void> start();

    /** Sends @p bytes to the peer at @p address. Must be called from a single thread. */
    void send(std::string const& address, std::string const& bytes);

    /** Publishes @p bytes to all subscribers. Must be called from the thread that calls send(). */
    void publish(std::string const& bytes);

private:
    void run(std::stop_token const& stop);
    void forward_outgoing(std::map<std::string, zmq::socket_t>& peers);
    void republish_to_new_subscribers();

    peer_transport_options options_;
    zmq::context_t context_;
    zmq::socket_t outgoing_;          ///< in-process queue, written by the caller of send()
    zmq::socket_t outgoing_receiver_; ///< its other end, read by the thread
    zmq::socket_t incoming_;
    zmq::socket_t publisher_;
    std::string last_published_; ///< for subscribers that connect later
    std::jthread thread_;
};

} // namespace cove
