#pragma once
/** @file One client connection of an http_server. */

#include "http/request_reader.h"
#include "http/server.h"

#include <optional>

namespace cove {

/** Reads requests one after the other and writes their responses. */
class server_connection : public std::enable_shared_from_this<server_connection> {
public:
    server_connection(http_server& server, boost::asio::ip::tcp::socket socket);

    /** Starts reading requests. */
    void start();

    /** @return the IP of the client; empty if it has disconnected. */
    [[nodiscard]] std::string client_ip() const;

    /** Sends the response to the call in progress. */
    void respond(http_response response);

    /** @return whether the client has closed the connection or its sending side, read or not. */
    [[nodiscard]] bool client_left();

    /** Closes the connection if its client has left or the timeout of its phase has passed. */
    void close_if_ended(mono_time now);

    /** Answers 503 if a request has arrived in part; its rest is discarded. */
    void refuse_unfinished();

    /** Closes the connection if it waits for the first byte of a request. */
    void close_if_idle();

    /** @return until when it may wait for a request; nullopt unless it does. */
    [[nodiscard]] std::optional<mono_time> idle_until() const;

    /** Closes the connection; reports a call in progress to the client_disconnected hook. */
    void close();

private:
    enum class phase { idle, header, body, call, response, lingering };

    void enter_phase(phase next, milliseconds timeout);
    void wait_for_request();
    void read_header();
    void read_body();
    void on_body(boost::system::error_code error, std::size_t bytes);
    void hold_memory(std::uint64_t bytes, holding what);
    void release_memory();
    void give_memory_back();
    void on_header(boost::system::error_code error);
    void dispatch_request();
    void watch_for_disconnect();
    void reject(boost::beast::http::status status);
    void write(http_response response, bool keep_alive);
    void on_written(boost::system::error_code error, bool keep_alive);
    void linger();

    http_server& server_;
    boost::asio::ip::tcp::socket socket_;
    boost::beast::flat_buffer buffer_;
    std::optional<request_reader> reader_;
    std::optional<memory_budget::holder> account_; ///< of the request, then of the response
    std::size_t discarded_ = 0;                    ///< bytes read while lingering
    http_response response_;
    std::optional<call_id> call_;
    phase phase_ = phase::idle;
    mono_time deadline_{};    ///< end of the current phase
    bool keep_alive_ = true;  ///< the client allows reuse of the connection
    bool read_ahead_ = false; ///< bytes have arrived during the call, which hide its end
    bool is_head_ = false;    ///< the request is a HEAD, so the response has no body
    bool refused_ = false;    ///< a request was answered before all of it had arrived
    bool closed_ = false;
};

} // namespace cove
