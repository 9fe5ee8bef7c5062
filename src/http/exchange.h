#pragma once
/** @file Client side of one HTTP connection that carries one request at a time. */

#include "core/time_type.h"
#include "http/folded_line.h"
#include "http/http_type.h"
#include "http/memory_budget.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/span_body.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cove {

/** How an exchange ended. */
enum class exchange_outcome {
    answered,       ///< a complete response was received
    connect_failed, ///< no connection was established, so no byte of the request was sent
    broken,         ///< the connection ended or the response was invalid; the request may have run
    withdrawn,      ///< the request was not wanted any more when it could be sent; no byte was sent
};

/** Result of one request on a connection. */
struct exchange_result {
    exchange_outcome outcome = exchange_outcome::broken;
    http_response response; ///< complete if answered, else empty
    std::string detail;     ///< reason of a failure, for the log
    /// The connection ended before the whole answer, as opposed to an invalid answer.
    bool connection_lost = false;
    bool connect_timed_out = false; ///< give_up_connecting() was called
};

/** Whether a response belongs to the request that was sent last. */
enum class response_match {
    this_request,  ///< it does
    other_request, ///< it answers another request
};

/** Size limits and timeouts of a connection. */
struct exchange_limits {
    std::uint32_t header_bytes = 64 * 1024; ///< of a response
    std::uint64_t body_bytes = 4 << 20;     ///< of a response, which is held in memory as a whole
    milliseconds tcp_user_timeout{1500};    ///< sent data unacknowledged for this long ends it
    /// Time without traffic after which the peer is probed; no reply within a second ends it.
    seconds probe_idle{2};
    /// Bounds the responses under way on several connections; none: they are not bounded together.
    std::shared_ptr<memory_budget> memory = nullptr;
};

/**
 * @param address IP:port.
 * @return its endpoint; for a malformed address, one to which every connection attempt fails.
 */
http_endpoint endpoint_of(std::string const& address);

/**
 * A connection to one address, established with the first request. The owner calls close() to
 * abort a request; its handler is then not called.
 */
class exchange_connection : public std::enable_shared_from_this<exchange_connection> {
public:
    using handler = std::function<void(exchange_result)>;
    using connect_handler = std::function<void(boost::system::error_code)>;
    using response_matcher = std::function<response_match(http_response const&)>;
    using condition = std::function<bool()>;

    exchange_connection(boost::asio::io_context& loop, http_endpoint peer, exchange_limits limits);

    /**
     * Sends @p request and reads its response. Only one request may be in progress.
     * @param match tells whether a response belongs to this request; others are discarded and the
     * next response is awaited. If empty, every response does.
     * @param done called once, unless close() is called first.
     * @param wanted asked right before the request is written; if it returns false, the outcome is
     * withdrawn and the connection stays fit for use. If empty, the request is wanted.
     * @param body sent instead of that of @p request, whose Content-Length has to fit; it is
     * shared, so that a body that may be sent again is held once. If empty, that of @p request.
     */
    void exchange(http_request request, response_matcher match, handler done,
                  condition wanted = nullptr, std::shared_ptr<std::string> body = nullptr);

    /** Establishes the connection without a request. @param done as in exchange(). */
    void connect(connect_handler done);

    /** Ends a request that still waits for the connection; its outcome is connect_failed. */
    void give_up_connecting();

    /** Closes the connection; a request in progress is aborted and its unsent rest discarded. */
    void close();

    /** @return whether another request may be sent; checks the socket for a close by the peer. */
    [[nodiscard]] bool usable();

    /** @return the address that it is, or will be, connected to. */
    [[nodiscard]] http_endpoint const& peer() const { return peer_; }

    /** @return whether bytes of the request in progress may have been sent. */
    [[nodiscard]] bool sending() const { return sending_; }

    /** @return whether the connection was established at any time. */
    [[nodiscard]] bool connected() const { return connected_; }

    /** @return the idle timeout that the peer announced in Keep-Alive, if any. */
    [[nodiscard]] std::optional<seconds> keep_alive() const { return keep_alive_; }

    /** @return bytes received since the last request was sent. */
    [[nodiscard]] std::uint64_t received() const { return received_; }

    /** @return when bytes were last received; the epoch before that. */
    [[nodiscard]] mono_time last_received() const { return last_received_; }

    /** @return the time it took to establish the connection; zero before that. */
    [[nodiscard]] microseconds connect_time() const { return connect_time_; }

    // State that the owner keeps with the connection:
    mono_time idle_since{};                ///< when it was last kept for reuse; zero before that
    mono_time taken{};                     ///< when it was last taken for reuse
    std::vector<std::string> refused_here; ///< ids of the requests that the peer has refused on it

private:
    void send();
    void read();
    void read_some();
    void count_received(std::size_t size);
    void process(boost::system::error_code error, std::size_t added);
    boost::system::error_code parse(std::size_t added);
    boost::system::error_code end_of_stream();
    void on_response(boost::system::error_code error);
    bool closed_cleanly();
    void account_for_received();
    void give_up_response();
    void release_memory();
    void finish(exchange_result result);
    void parse_keep_alive(http_response const& response);

    boost::asio::ip::tcp::socket socket_;
    http_endpoint peer_;
    exchange_limits limits_;
    boost::beast::flat_buffer buffer_; ///< bytes received and not yet parsed
    std::uint64_t received_ = 0;       ///< bytes since the request was sent
    mono_time last_received_{};
    std::optional<memory_budget::holder> held_; ///< account of the response under way
    std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> parser_;
    folded_line_finder folded_lines_;   ///< in the header of the response under way
    std::shared_ptr<std::string> body_; ///< of the request
    boost::beast::http::request<boost::beast::http::span_body<char>> request_;
    response_matcher match_;
    handler done_;
    condition wanted_;
    bool gives_up_ = false; ///< the response ends as broken, as its memory is needed
    bool sending_ = false;  ///< a request is in progress and was at least begun to be written
    bool connected_ = false;
    bool sent_ = false;     ///< the request was written completely, without an error
    bool reusable_ = false; ///< the last response leaves the connection fit for another request
    bool closed_ = false;
    std::optional<seconds> keep_alive_;
    mono_time connect_started_{};
    microseconds connect_time_{};
};

} // namespace cove
