#pragma once
/** @file One client connection of an http_server. */

#include "http/connection_choice.h"
#include "http/request_reader.h"
#include "http/server.h"

#include <optional>

namespace cove {

/** Reads requests, runs them as its pipeline decides and writes their responses in order. */
class server_connection : public std::enable_shared_from_this<server_connection> {
public:
    server_connection(http_server& server, boost::asio::ip::tcp::socket socket);

    /** Starts reading requests. */
    void start();

    /** @return the IP of the client; empty if it has disconnected. */
    [[nodiscard]] std::string client_ip() const;

    /** Sends the response to a call in progress once those before it are sent. */
    void respond(call_id call, http_response response);

    /** @return whether the client has closed the connection or its sending side, read or not. */
    [[nodiscard]] bool client_left();

    /** Closes the connection if its client has left or the timeout of its phase has passed. */
    void close_if_ended(mono_time now);

    /** Answers 503, in its turn, if a request has arrived in part; its rest is discarded. */
    void refuse_unfinished();

    /** Closes the connection if nothing of a next request has arrived, read or not. */
    void close_if_idle();

    /** @return what it waits for and what it has brought; nullopt while a request is worked on. */
    [[nodiscard]] std::optional<waiting_connection> waiting() const;

    /** @return what is owed on this connection. */
    [[nodiscard]] server_debts debts();

    /** Closes the connection; reports the calls in progress to the client_disconnected hook. */
    void close();

private:
    /// What is read: nothing or the first byte of a request, its header, nothing until the client
    /// may be asked for the body, its body, nothing more, bytes to discard before the close.
    enum class phase { between, header, held, body, ended, lingering };

    void enter_phase(phase next, milliseconds timeout);
    [[nodiscard]] bool input_open() const;
    [[nodiscard]] bool request_arrives() const;
    [[nodiscard]] bool more_has_arrived();
    [[nodiscard]] bool has_unread();
    void read_next();
    void watch();
    void on_readable(boost::system::error_code error);
    void read_header();
    void on_header(boost::system::error_code error, std::size_t bytes);
    void ask_for_body();
    void read_body();
    void on_body(boost::system::error_code error, std::size_t bytes);
    void count_memory();
    void release_memory();
    void give_memory_back();
    [[nodiscard]] bool read_ended();
    void end_input();
    void add_call();
    void start_calls();
    void reject(boost::beast::http::status status);
    void write_next();
    void write(due_response due);
    void on_written(boost::system::error_code error, bool closes);
    void linger();

    http_server& server_;
    boost::asio::ip::tcp::socket socket_;
    boost::beast::flat_buffer buffer_;
    std::optional<request_reader> reader_;
    std::optional<memory_budget::holder> account_; ///< of what this connection buffers
    std::size_t discarded_ = 0;                    ///< bytes read while lingering
    call_pipeline pipeline_;
    http_response response_; ///< being written
    phase phase_ = phase::between;
    mono_time waiting_since_{};                   ///< for a request, or for the rest of it
    mono_time deadline_{};                        ///< end of the current phase
    mono_time write_deadline_ = mono_time::max(); ///< end of the current write
    bool watching_ = false;                       ///< a wait for bytes is pending
    bool reading_ = false;                        ///< a read is pending
    bool writing_ = false;                        ///< a write is pending
    bool read_ahead_ = false; ///< bytes have arrived that are not read, which hide the end
    bool gives_up_ = false;   ///< closes at once, as its memory is needed
    bool closed_ = false;
};

} // namespace cove
