#pragma once
/** @file A client that writes bytes at once and leaves at any moment, without the event loop. */

#include "http/exchange.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <string>

namespace cove {

/** How a client ends its connection. */
enum class departure {
    close,
    reset,
    close_after_more, ///< with the first bytes of another request before
};

/** One connection of a client; all calls block. */
class raw_client {
public:
    raw_client(boost::asio::io_context& loop, std::string const& address) : socket_(loop)
    {
        socket_.connect(endpoint_of(address));
    }

    void send(std::string const& bytes) { boost::asio::write(socket_, boost::asio::buffer(bytes)); }

    void leave(departure how)
    {
        if (how == departure::close_after_more) {
            send("PUT /a/mo");
        }
        if (how == departure::reset) {
            socket_.set_option(boost::asio::socket_base::linger(true, 0));
        }
        socket_.close();
    }

    /** Closes the sending side only. */
    void end_sending() { socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send); }

    /** @return all that has arrived so far. */
    std::string const& received()
    {
        boost::system::error_code error;
        socket_.non_blocking(true);
        char buffer[4096];
        auto const size = socket_.read_some(boost::asio::buffer(buffer), error);
        text_.append(buffer, size);
        ended_ = ended_ || (error && error != boost::asio::error::would_block);
        return text_;
    }

    /** @return whether the other side has ended the connection, as of the last received(). */
    [[nodiscard]] bool ended() const { return ended_; }

private:
    boost::asio::ip::tcp::socket socket_;
    std::string text_;
    bool ended_ = false;
};

/** @return a whole request without body to the route of desk_config(). */
inline std::string raw_request(std::string const& path)
{
    return "PUT " + path +
           " HTTP/1.1\r\nHost: desk.example\r\nAttempt: a1\r\nDeadline: 8000\r\n"
           "Content-Length: 0\r\n\r\n";
}

} // namespace cove
