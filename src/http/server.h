#pragma once
/** @file HTTP server on the event loop. */

#include "core/error.h"
#include "core/strong_type.h"
#include "core/time_type.h"
#include "http/http_type.h"
#include "http/loop_timers.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace cove {

using call_id = strong_number<struct call_tag>; ///< one request taken by a server

/** What clients may send and how long they may take. */
struct server_limits {
    std::uint32_t header_bytes = 16 * 1024;
    std::uint64_t body_bytes = 64 << 20;
    milliseconds header_time{3000}; ///< from the first byte of a request to the end of its header
    milliseconds body_time{30'000}; ///< from the end of the header to the end of the body
    milliseconds idle_time{15'000}; ///< between a response and the next request
};

/** What a server tells its owner. */
struct server_hooks {
    std::function<void(call_id, http_request)> request; ///< a whole request came
    std::function<void(call_id)> client_left;           ///< nobody waits for this answer any more
};

class server_connection;

/** Takes requests on one address and sends the answers that its owner gives. */
class http_server {
public:
    http_server(boost::asio::io_context& loop, loop_timers& timers, server_hooks hooks);
    ~http_server();
    http_server(http_server const&) = delete;
    http_server& operator=(http_server const&) = delete;
    http_server(http_server&&) = delete;
    http_server& operator=(http_server&&) = delete;

    /** Binds and starts to accept. @param listen_address IP:port. @return why it could not. */
    result<void> start(std::string const& listen_address);

    /** Answers a call; a call that ended meanwhile is ignored. */
    void respond(call_id call, http_response response);

    /** Takes other limits into force for what comes next. */
    void set_limits(server_limits const& limits) { limits_ = limits; }

    /** From now on each answer ends its connection. */
    void close_after_answers() { closing_ = true; }

    /** Takes no new connections. */
    void stop_accepting();

    /** Ends connections without a request under way. */
    void close_idle();

    /** @return how many connections are open. */
    [[nodiscard]] std::size_t connections() const { return connections_.size(); }

    /** @return the IP of the client that made @p call; empty when it is gone. */
    [[nodiscard]] std::string client_of(call_id call) const;

private:
    friend class server_connection;

    void accept();
    void sweep();

    boost::asio::io_context& loop_;
    loop_timers& timers_;
    server_hooks hooks_;
    server_limits limits_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::unordered_map<server_connection*, std::shared_ptr<server_connection>> connections_;
    std::unordered_map<call_id, server_connection*> calls_;
    std::uint64_t next_call_ = 1;
    loop_timers::subscription sweep_ = 0;
    bool closing_ = false;
};

} // namespace cove
