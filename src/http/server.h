#pragma once
/** @file HTTP server on the event loop. */

#include "core/error.h"
#include "core/time_type.h"
#include "http/call_pipeline.h"
#include "http/http_type.h"
#include "http/loop_timers.h"
#include "http/memory_budget.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <unordered_map>

namespace cove {

/** Size limits and timeouts for clients. */
struct server_limits {
    std::uint32_t header_bytes = 16 * 1024;
    std::uint64_t body_bytes = 64 << 20;
    milliseconds header_timeout{3000}; ///< from the first byte to the end of the header
    milliseconds body_timeout{30'000}; ///< from the end of the header to the end of the body
    milliseconds idle_timeout{15'000}; ///< between a response and the next request
};

/** Callbacks of a server to its owner. */
struct server_hooks {
    /// A complete request was received. Its body is not counted here any more.
    std::function<void(call_id, http_request)> request;
    /// The client disconnected before the response.
    std::function<void(call_id)> client_disconnected;
    /// A request was read; its last bytes had been received this long before. May be empty.
    std::function<void(milliseconds)> unread = nullptr;
    /// A connection could not be accepted, for this reason. May be empty.
    std::function<void(std::string const&)> accept_failed = nullptr;
    /// Whether a request may run beside others of its connection. If empty, a request is read only
    /// after the response to the one before it.
    std::function<bool(http_request const&)> concurrent = nullptr;
};

/** What a server owes to its clients. */
struct server_debts {
    std::size_t connections = 0; ///< open
    std::size_t unanswered = 0;  ///< complete requests without a response
    std::size_t unsent = 0;      ///< responses that are not completely handed to the system
    std::size_t unacknowledged_bytes = 0; ///< handed to the system; the client may not have them
};

server_debts operator+(server_debts const& left, server_debts const& right);

class server_connection;

/** Receives requests on one address and sends the responses that its owner provides. */
class http_server {
public:
    http_server(boost::asio::io_context& loop, loop_timers& timers, server_hooks hooks);
    ~http_server();
    http_server(http_server const&) = delete;
    http_server& operator=(http_server const&) = delete;
    http_server(http_server&&) = delete;
    http_server& operator=(http_server&&) = delete;

    /** Binds and starts accepting. @param listen_address IP:port. @return the error if it fails. */
    result<void> start(std::string const& listen_address);

    /** Sends the response to a call; ignored if the call has ended in the meantime. */
    void respond(call_id call, http_response response);

    /** Closes the connection of a call without a response; ignored if the call has ended. */
    void abandon(call_id call);

    /** Changes the limits: sizes from a connection's next request, timeouts from its next phase. */
    void set_limits(server_limits const& limits) { limits_ = limits; }

    /** Counts what is buffered for clients towards @p memory; called before start(). */
    void share_memory(std::shared_ptr<memory_budget> memory) { memory_ = std::move(memory); }

    /**
     * Bounds the open connections; at the bound one without a request that is worked on is closed
     * for a new one, as choose_to_close() decides, else the new one is refused.
     */
    void set_max_connections(std::size_t count) { max_connections_ = count; }

    /** @return how many connections were refused or closed at the bound so far. */
    [[nodiscard]] std::uint64_t connections_over_bound() const { return over_bound_; }

    /**
     * From now on, closes each connection after the last response that it owes, also to requests
     * that have arrived behind the one that is answered.
     */
    void close_after_responses() { closing_ = true; }

    /**
     * Stops accepting connections, behind those that are established, and requests behind one that
     * has no response yet.
     */
    void stop_accepting();

    /** @return whether connections are accepted. */
    [[nodiscard]] bool accepting() const { return acceptor_.is_open(); }

    /** Closes all connections on which nothing of a next request has arrived, read or not. */
    void close_idle();

    /** Answers 503 to the clients whose requests have arrived in part. */
    void refuse_unfinished();

    /** @return the number of open connections. */
    [[nodiscard]] std::size_t connections() const { return connections_.size(); }

    /** @return what is owed on all open connections. */
    [[nodiscard]] server_debts debts() const;

    /** @return the number of failures to accept a connection so far. */
    [[nodiscard]] std::uint64_t accept_errors() const { return accept_errors_; }

    /** @return the IP of the client that made @p call; empty if it has disconnected. */
    [[nodiscard]] std::string client_ip(call_id call) const;

    /** @return whether the client that made @p call is still connected, by its socket. */
    [[nodiscard]] bool client_connected(call_id call) const;

private:
    friend class server_connection;

    void accept();
    void add(boost::asio::ip::tcp::socket socket);
    void on_accept_error(boost::system::error_code error);
    void close_ended();
    bool make_room();

    boost::asio::io_context& loop_;
    loop_timers& timers_;
    server_hooks hooks_;
    server_limits limits_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::unordered_map<server_connection*, std::shared_ptr<server_connection>> connections_;
    std::unordered_map<call_id, server_connection*> calls_;
    std::uint64_t next_call_ = 1;
    std::uint64_t accept_errors_ = 0;
    loop_timers::subscription end_check_ = 0;
    bool closing_ = false;
    std::shared_ptr<memory_budget> memory_;
    std::size_t max_connections_ = std::numeric_limits<std::size_t>::max();
    std::uint64_t over_bound_ = 0; ///< connections refused or closed at the bound
};

} // namespace cove
