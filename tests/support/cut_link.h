#pragma once
/** @file A forwarder between a host and a target that can be cut. */

#include "support/scripted_server.h"

#include <array>

namespace cove {

/** What happens to connections while a link is cut. */
enum class link_cut {
    silent, ///< open ones hang, attempts to connect get no reply
    reset,  ///< open ones are reset, new ones refused
    closed, ///< open ones live on, new ones are refused
    mute,   ///< open ones hang, though what is sent on them is acknowledged; new ones work
    dark,   ///< open ones are reset, attempts to connect get no reply
};

/** Forwards connections to one address. */
class cut_link {
public:
    cut_link(boost::asio::io_context& loop, boost::asio::ip::tcp::endpoint target)
        : loop_(loop), target_(std::move(target)), acceptor_(loop)
    {
        listen(boost::asio::socket_base::max_listen_connections);
        accept();
    }

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(endpoint_.port());
    }

    void cut(link_cut how)
    {
        boost::system::error_code ignored;
        if (how != link_cut::mute) {
            acceptor_.close(ignored);
        }
        if (how == link_cut::silent || how == link_cut::dark) {
            fill_backlog();
        }
        for (auto const& weak : pipes_) {
            if (auto const pipe = weak.lock()) {
                pipe->hangs = how == link_cut::silent || how == link_cut::mute;
                if (how == link_cut::reset || how == link_cut::dark) {
                    pipe->near.set_option(boost::asio::socket_base::linger(true, 0), ignored);
                    pipe->near.close(ignored);
                    pipe->far.close(ignored);
                }
            }
        }
    }

    void mend()
    {
        boost::system::error_code ignored;
        fillers_.clear();
        acceptor_.close(ignored);
        for (auto const& weak : pipes_) {
            if (auto const pipe = weak.lock(); pipe && pipe->hangs) {
                pipe->near.close(ignored);
                pipe->far.close(ignored);
            }
        }
        listen(boost::asio::socket_base::max_listen_connections);
        accept();
    }

private:
    using socket_type = boost::asio::ip::tcp::socket;

    struct pipe : std::enable_shared_from_this<pipe> {
        pipe(socket_type a, socket_type b) : near(std::move(a)), far(std::move(b)) {}

        void pump(socket_type& from, socket_type& to, std::array<char, 4096>& buffer)
        {
            from.async_read_some(boost::asio::buffer(buffer),
                                 [self = shared_from_this(), &from, &to,
                                  &buffer](boost::system::error_code error, std::size_t size) {
                                     boost::system::error_code ignored;
                                     if (error) {
                                         self->near.close(ignored);
                                         self->far.close(ignored);
                                         return;
                                     }
                                     if (!self->hangs) {
                                         boost::asio::write(
                                             to, boost::asio::buffer(buffer.data(), size), ignored);
                                     }
                                     self->pump(from, to, buffer);
                                 });
        }

        socket_type near;
        socket_type far;
        std::array<char, 4096> up{};
        std::array<char, 4096> down{};
        bool hangs = false;
    };

    void listen(int backlog)
    {
        acceptor_.open(endpoint_.protocol());
        acceptor_.set_option(boost::asio::socket_base::reuse_address(true));
        acceptor_.bind(endpoint_);
        acceptor_.listen(backlog);
        endpoint_ = acceptor_.local_endpoint();
    }

    /** Leaves no place for connections, so that the kernel drops attempts to connect. */
    void fill_backlog()
    {
        constexpr int attempts = 3; // one place, and one that may be freed late
        listen(0);
        for (int i = 0; i < attempts; ++i) {
            fillers_.push_back(std::make_unique<socket_type>(loop_));
            fillers_.back()->async_connect(endpoint_, [](boost::system::error_code) {});
        }
    }

    void accept()
    {
        acceptor_.async_accept([this](boost::system::error_code error, socket_type socket) {
            if (error) {
                return;
            }
            socket_type far(loop_);
            boost::system::error_code refused;
            far.connect(target_, refused);
            if (!refused) {
                auto const opened = std::make_shared<pipe>(std::move(socket), std::move(far));
                pipes_.push_back(opened);
                opened->pump(opened->near, opened->far, opened->up);
                opened->pump(opened->far, opened->near, opened->down);
            }
            accept();
        });
    }

    boost::asio::io_context& loop_;
    boost::asio::ip::tcp::endpoint target_;
    boost::asio::ip::tcp::endpoint endpoint_{boost::asio::ip::make_address("127.0.0.1"), 0};
    boost::asio::ip::tcp::acceptor acceptor_;
    std::vector<std::weak_ptr<pipe>> pipes_;
    std::vector<std::unique_ptr<socket_type>> fillers_;
};

} // namespace cove
