#pragma once
/** @file A target that ends when it runs certain requests, and is back some time later. */

#include "support/scripted_server.h"

#include <boost/asio/steady_timer.hpp>

namespace cove {

/**
 * Answers each request after its service time. A request for which `is_fatal` holds ends the target
 * after `time_to_end`: all its connections are reset and its address refuses connections for
 * `down_time`.
 */
class crashing_target {
public:
    crashing_target(boost::asio::io_context& loop, std::string answer,
                    std::function<bool(std::string const& head)> is_fatal)
        : loop_(loop), answer_(std::move(answer)), is_fatal_(std::move(is_fatal)), acceptor_(loop),
          restart_(loop)
    {
        listen();
    }

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(endpoint_.port());
    }

    /** Resets all connections and refuses new ones for `down_time`. */
    void crash()
    {
        ++ends;
        boost::system::error_code ignored;
        acceptor_.close(ignored);
        for (auto const& weak : sessions_) {
            if (auto const open = weak.lock(); open && open->socket.is_open()) {
                open->socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
                open->socket.close(ignored);
            }
        }
        sessions_.clear();
        restart_.expires_after(down_time);
        restart_.async_wait([this](boost::system::error_code error) {
            if (!error) {
                listen();
            }
        });
    }

    int requests = 0;       ///< received
    int fatal_requests = 0; ///< of these, the ones that end the target
    int ends = 0;
    int answers = 0;
    int answers_per_connection = 0; ///< one in so many ends its connection; 0: none
    milliseconds service_time{100};
    milliseconds time_to_end{60};
    milliseconds down_time{1500};

private:
    struct session : std::enable_shared_from_this<session> {
        session(crashing_target& owner, boost::asio::ip::tcp::socket peer)
            : target(owner), socket(std::move(peer)), timer(socket.get_executor())
        {
        }

        void read()
        {
            boost::asio::async_read_until(
                socket, buffer, "\r\n\r\n",
                [self = shared_from_this()](boost::system::error_code error, std::size_t size) {
                    if (error || !self->socket.is_open()) {
                        return;
                    }
                    auto const first = boost::asio::buffers_begin(self->buffer.data());
                    self->run({first, first + static_cast<std::ptrdiff_t>(size)});
                    self->buffer.consume(self->buffer.size());
                });
        }

        void run(std::string const& head)
        {
            ++target.requests;
            bool const fatal = target.is_fatal_(head);
            target.fatal_requests += fatal ? 1 : 0;
            timer.expires_after(fatal ? target.time_to_end : target.service_time);
            timer.async_wait([self = shared_from_this(), fatal](boost::system::error_code error) {
                if (error || !self->socket.is_open()) {
                    return;
                }
                if (fatal) {
                    self->target.crash();
                    return;
                }
                bool const last = self->target.answers_per_connection > 0 &&
                                  ++self->target.answers % self->target.answers_per_connection == 0;
                self->bytes = self->target.answer_;
                if (last) {
                    self->bytes.insert(self->bytes.find("\r\n") + 2, "Connection: close\r\n");
                }
                boost::asio::async_write(self->socket, boost::asio::buffer(self->bytes),
                                         [self, last](boost::system::error_code, std::size_t) {
                                             if (!last) {
                                                 self->read();
                                             }
                                         });
            });
        }

        crashing_target& target;
        boost::asio::ip::tcp::socket socket;
        boost::asio::steady_timer timer;
        boost::asio::streambuf buffer;
        std::string bytes;
    };

    void listen()
    {
        acceptor_.open(endpoint_.protocol());
        acceptor_.set_option(boost::asio::socket_base::reuse_address(true));
        acceptor_.bind(endpoint_);
        acceptor_.listen();
        endpoint_ = acceptor_.local_endpoint();
        accept();
    }

    void accept()
    {
        acceptor_.async_accept(
            [this](boost::system::error_code error, boost::asio::ip::tcp::socket socket) {
                if (!error) {
                    auto const opened = std::make_shared<session>(*this, std::move(socket));
                    sessions_.push_back(opened);
                    opened->read();
                    accept();
                }
            });
    }

    boost::asio::io_context& loop_;
    std::string answer_;
    std::function<bool(std::string const&)> is_fatal_;
    boost::asio::ip::tcp::endpoint endpoint_{boost::asio::ip::make_address("127.0.0.1"), 0};
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer restart_;
    std::vector<std::weak_ptr<session>> sessions_;
};

} // namespace cove
