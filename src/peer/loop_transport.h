#pragma once
/** @file Messages between entry hosts over ZeroMQ, on the event loop. */

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

/** Sends and receives whole messages; one to a peer that cannot take it is dropped. */
class loop_transport {
public:
    using received_hook = std::function<void(std::string bytes)>;

    /** @param port of all hosts. */
    loop_transport(boost::asio::io_context& loop, int port, received_hook received);
    ~loop_transport();
    loop_transport(loop_transport const&) = delete;
    loop_transport& operator=(loop_transport const&) = delete;
    loop_transport(loop_transport&&) = delete;
    loop_transport& operator=(loop_transport&&) = delete;

    /** Binds. @param ip own IP. @return why it could not. */
    result<void> start(std::string const& ip);

    /** Sends @p bytes to the host at @p ip. */
    void send(std::string const& ip, std::string const& bytes);

private:
    void wait();
    void receive_all();

    int port_;
    received_hook received_;
    zmq::context_t context_;
    zmq::socket_t incoming_;
    boost::asio::posix::stream_descriptor readable_;
    std::map<std::string, zmq::socket_t> peers_;
};

} // namespace cove
