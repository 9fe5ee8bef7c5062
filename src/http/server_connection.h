#pragma once
/** @file One client's connection to an http_server. */

#include "http/server.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <optional>

namespace cove {

/** Reads requests one after the other and writes their answers. */
class server_connection : public std::enable_shared_from_this<server_connection> {
public:
    server_connection(http_server& server, boost::asio::ip::tcp::socket socket);

    /** Starts to read. */
    void start();

    /** @return the client's IP; empty when it is gone. */
    [[nodiscard]] std::string client() const;

    /** Sends the answer of the call under way. */
    void respond(http_response response);

    /** Ends the connection if its time is over. */
    void check_time(mono_time now);

    /** Ends the connection if no request is under way. */
    void close_if_idle();

    /** Ends the connection; a call under way is reported as left. */
    void close();

private:
    enum class phase { idle, header, body, call, response, lingering };

    void enter(phase next, milliseconds longest);
    void wait_for_request();
    void read_header();
    void read_body();
    void on_header(boost::system::error_code error);
    void hand_over();
    void watch_client();
    void refuse(boost::beast::http::status status);
    void write(http_response response, bool keep);
    void on_written(boost::system::error_code error, bool keep);
    void linger();

    http_server& server_;
    boost::asio::ip::tcp::socket socket_;
    boost::beast::flat_buffer buffer_;
    std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> parser_;
    http_response response_;
    std::optional<call_id> call_;
    phase phase_ = phase::idle;
    mono_time ends_at_{}; ///< of the phase
    bool keep_ = true;    ///< the client lets the connection stay open
    bool is_head_ = false;
    bool closed_ = false;
};

} // namespace cove
