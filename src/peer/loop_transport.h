#pragma once
/** @file ZeroMQ transport between entry hosts, driven by the event loop. */

#include "core/error.h"

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <zmq.hpp>

namespace cove {

/** Sends and receives whole messages. Drops a message to a peer whose send queue is full. */
class loop_transport {
public:
    using message_handler = std::function<void(std::string bytes)>;

    /** @param port on which every entry host listens. */
    loop_transport(boost::asio::io_context& loop, int port, message_handler on_message);
    ~loop_transport();
    loop_transport(loop_transport const&) = delete;
    loop_transport& operator=(loop_transport const&) = delete;
    loop_transport(loop_transport&&) = delete;
    loop_transport& operator=(loop_transport&&) = delete;

    /** Binds the listening socket. @param ip own IP. @return the error if that fails. */
    result<void> start(std::string const& ip);

    /** Sends @p bytes to the host at @p ip. */
    void send(std::string const& ip, std::string const& bytes);

private:
    void wait_readable();
    void receive_pending();

    int port_;
    message_handler on_message_;
    zmq::context_t context_;
    zmq::socket_t incoming_;
    boost::asio::posix::stream_descriptor readable_;
    std::map<std::string, zmq::socket_t> peers_; ///< sending sockets by IP
};

} // namespace cove
