#pragma once
/** @file A TCP server that answers requests with given bytes, which need not be valid HTTP. */

#include "core/time_type.h"

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cove {

/** What a scripted server does with the connection after it has sent an answer. */
enum class connection_action { keep, close, reset };

/** One answer of a scripted server. */
struct scripted_answer {
    std::string bytes;
    connection_action then = connection_action::keep;
    milliseconds pause{0}; ///< between the bytes and the action
};

/** Answers each request head with the result of a callback. */
class scripted_server {
public:
    using script = std::function<scripted_answer(std::string const& head)>;

    scripted_server(boost::asio::io_context& loop, script answers)
        : loop_(loop), answers_(std::move(answers)),
          acceptor_(loop, {boost::asio::ip::make_address("127.0.0.1"), 0})
    {
        accept();
    }

    [[nodiscard]] boost::asio::ip::tcp::endpoint endpoint() const
    {
        return acceptor_.local_endpoint();
    }

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(endpoint().port());
    }

    /** Sends @p more on every open connection. */
    void send_to_all(std::string const& more)
    {
        for (auto const& weak : sessions_) {
            if (auto const open = weak.lock()) {
                boost::asio::write(open->socket, boost::asio::buffer(more));
            }
        }
    }

    std::vector<std::string> request_heads; ///< received, in order
    int connections = 0;
    int closed_by_peer = 0; ///< connections that the client closed

private:
    struct session : std::enable_shared_from_this<session> {
        session(scripted_server& owner, boost::asio::ip::tcp::socket peer)
            : server(owner), socket(std::move(peer)), timer(owner.loop_)
        {
        }

        void read()
        {
            boost::asio::async_read_until(
                socket, buffer, "\r\n\r\n",
                [self = shared_from_this()](boost::system::error_code error, std::size_t size) {
                    if (error) {
                        ++self->server.closed_by_peer;
                        return;
                    }
                    auto const first = boost::asio::buffers_begin(self->buffer.data());
                    std::string const head(first, first + static_cast<std::ptrdiff_t>(size));
                    self->buffer.consume(self->buffer.size());
                    self->server.request_heads.push_back(head);
                    self->answer(self->server.answers_(head));
                });
        }

        void answer(scripted_answer response)
        {
            bytes = std::move(response.bytes);
            boost::asio::async_write(
                socket, boost::asio::buffer(bytes),
                [self = shared_from_this(), then = response.then,
                 pause = response.pause](boost::system::error_code, std::size_t) {
                    if (pause == milliseconds{0}) {
                        self->act(then);
                        return;
                    }
                    self->timer.expires_after(pause);
                    self->timer.async_wait(
                        [self, then](boost::system::error_code) { self->act(then); });
                });
        }

        void act(connection_action then)
        {
            if (then == connection_action::keep) {
                read();
                return;
            }
            if (then == connection_action::reset) {
                socket.set_option(boost::asio::socket_base::linger(true, 0));
            }
            socket.close();
        }

        scripted_server& server;
        boost::asio::ip::tcp::socket socket;
        boost::asio::streambuf buffer;
        boost::asio::steady_timer timer;
        std::string bytes;
    };

    void accept()
    {
        acceptor_.async_accept(
            loop_, [this](boost::system::error_code error, boost::asio::ip::tcp::socket socket) {
                if (!error) {
                    ++connections;
                    auto const opened = std::make_shared<session>(*this, std::move(socket));
                    sessions_.push_back(opened);
                    opened->read();
                    accept();
                }
            });
    }

    boost::asio::io_context& loop_;
    std::vector<std::weak_ptr<session>> sessions_;
    script answers_;
    boost::asio::ip::tcp::acceptor acceptor_;
};

/** Runs @p loop until @p done returns true or @p timeout has passed. @return done(). */
inline bool run_until(boost::asio::io_context& loop, std::function<bool()> const& done,
                      milliseconds timeout = milliseconds{5000})
{
    constexpr milliseconds step{2};
    auto const end = read_clocks().mono + timeout;
    while (!done() && read_clocks().mono < end) {
        loop.restart();
        loop.run_for(step);
    }
    return done();
}

} // namespace cove
