#pragma once
/** @file ZeroMQ transport between entry hosts, driven by the event loop. */

#include "core/error.h"

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <zmq.hpp>

namespace cove {

/**
 * Sends and receives whole messages. Drops a message to a peer whose send queue is full, and closes
 * the connections that were unused for longest when there are too many.
 */
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

    /** Closes the connection to the host at @p ip; the next message goes over a new one. */
    void disconnect(std::string const& ip) { peers_.erase(ip); }

    /** @return messages that were not sent because no connection could be opened. */
    [[nodiscard]] std::uint64_t unsent_messages() const { return unsent_messages_; }

private:
    void wait_readable();
    void receive_pending();

    int port_;
    message_handler on_message_;
    zmq::context_t context_;
    zmq::socket_t incoming_;
    boost::asio::posix::stream_descriptor readable_;
    /** A connection to one peer. */
    struct sender {
        zmq::socket_t socket;
        std::uint64_t last_use = 0; ///< number of the last message
    };

    /** @return the connection to a peer, or null if no more can be opened now. */
    zmq::socket_t* socket_to(std::string const& ip);

    std::map<std::string, sender> peers_; ///< by IP
    std::uint64_t messages_sent_ = 0;
    std::uint64_t unsent_messages_ = 0;
};

} // namespace cove
