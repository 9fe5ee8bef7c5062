#pragma once
/** @file One outgoing connection that carries one request at a time. */

#include "core/time_type.h"
#include "http/http_type.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace cove {

/** How an exchange ended. */
enum class exchange_end {
    answered,       ///< a whole response came
    connect_failed, ///< no connection: no byte of the request was sent
    broken,         ///< the connection ended or the bytes were no HTTP; the request may have run
};

/** The end of one request on a connection. */
struct exchange_result {
    exchange_end end = exchange_end::broken;
    http_response response; ///< whole when answered
    std::string detail;     ///< why it failed, for a log line
};

/** Whether a response answers the request that was sent last. */
enum class response_match { mine, foreign };

/** Sizes and times of a connection. */
struct exchange_limits {
    std::uint32_t header_bytes = 64 * 1024; ///< of a response
    std::uint64_t body_bytes = 16 << 20;    ///< of a response; an answer is held whole in memory
    milliseconds unacknowledged{1500}; ///< TCP_USER_TIMEOUT: bytes that the peer leaves so long
};

/**
 * @param address IP:port.
 * @return where it points; for a malformed address an endpoint that refuses every connection.
 */
http_endpoint endpoint_of(std::string const& address);

/**
 * A connection to one address. It connects with its first request. The owner closes it to end a
 * request early; the handler is not called then.
 */
class exchange_connection : public std::enable_shared_from_this<exchange_connection> {
public:
    using handler = std::function<void(exchange_result)>;
    using match_hook = std::function<response_match(http_response const&)>;

    exchange_connection(boost::asio::io_context& loop, http_endpoint peer, exchange_limits limits);

    /**
     * Sends @p request and reads its response. One call at a time.
     * @param match decides whose response it is; foreign ones are dropped and the next is awaited.
     * @param done called once, unless close() comes first.
     */
    void exchange(http_request request, match_hook match, handler done);

    /** Ends the connection and what it carries. */
    void close();

    /** @return whether another request may be sent; looks at the socket for a peer that closed. */
    [[nodiscard]] bool usable();

    /** @return whether a connection was established. */
    [[nodiscard]] bool connected() const { return connected_; }

    /** @return how long the peer said it keeps the connection idle, if it said so. */
    [[nodiscard]] std::optional<seconds> keep_alive() const { return keep_alive_; }

    /** @return how long the connection took to come up; zero before. */
    [[nodiscard]] microseconds connect_time() const { return connect_time_; }

    mono_time idle_since{}; ///< set by the owner when it keeps the connection

private:
    void send();
    void read();
    void on_response(boost::system::error_code error);
    void finish(exchange_result result);
    void read_keep_alive(http_response const& response);

    boost::asio::ip::tcp::socket socket_;
    http_endpoint peer_;
    exchange_limits limits_;
    boost::beast::flat_buffer buffer_;
    std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> parser_;
    http_request request_;
    match_hook match_;
    handler done_;
    bool connected_ = false;
    bool sent_ = false;     ///< the request was written whole
    bool reusable_ = false; ///< the last response left the connection in order
    bool closed_ = false;
    std::optional<seconds> keep_alive_;
    mono_time connect_began_{};
    microseconds connect_time_{};
};

} // namespace cove
