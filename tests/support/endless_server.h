#pragma once
/** @file A TCP server whose answers never end. */

#include "core/time_type.h"

#include <array>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <string>

namespace cove {

/** Answers each request with given bytes, then others again and again until the peer closes. */
class endless_server {
public:
    endless_server(boost::asio::io_context& loop, std::string first, std::string repeated)
        : loop_(loop), first_(std::move(first)), repeated_(std::move(repeated)),
          acceptor_(loop, {boost::asio::ip::make_address("127.0.0.1"), 0})
    {
        accept();
    }

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }

    int requests = 0;               ///< connections on which one arrived
    int closed = 0;                 ///< of these, the ones that the peer has closed
    std::size_t longest_answer = 0; ///< bytes sent on one connection

private:
    struct session : std::enable_shared_from_this<session> {
        session(endless_server& owner, boost::asio::ip::tcp::socket connected)
            : server(owner), socket(std::move(connected))
        {
        }

        void read()
        {
            socket.async_read_some(
                boost::asio::buffer(head),
                [self = shared_from_this()](boost::system::error_code error, std::size_t) {
                    if (!error) {
                        ++self->server.requests;
                        self->send(self->server.first_);
                    }
                });
        }

        void send(std::string const& bytes)
        {
            boost::asio::async_write(
                socket, boost::asio::buffer(bytes),
                [self = shared_from_this()](boost::system::error_code error, std::size_t size) {
                    self->sent += size;
                    self->server.longest_answer = std::max(self->server.longest_answer, self->sent);
                    if (error) {
                        ++self->server.closed;
                        return;
                    }
                    self->send(self->server.repeated_);
                });
        }

        endless_server& server;
        boost::asio::ip::tcp::socket socket;
        std::array<char, 4096> head{};
        std::size_t sent = 0;
    };

    void accept()
    {
        acceptor_.async_accept(
            loop_, [this](boost::system::error_code error, boost::asio::ip::tcp::socket socket) {
                if (!error) {
                    std::make_shared<session>(*this, std::move(socket))->read();
                    accept();
                }
            });
    }

    boost::asio::io_context& loop_;
    std::string first_;
    std::string repeated_;
    boost::asio::ip::tcp::acceptor acceptor_;
};

} // namespace cove
