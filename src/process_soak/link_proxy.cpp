#include "process_soak/link_proxy.h"

#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <future>

namespace cove {

namespace {

using boost::asio::ip::tcp;

constexpr std::size_t buffer_bytes = 16384;
constexpr milliseconds delay_time{250}; ///< of each piece of data on a delayed link

tcp::endpoint endpoint(std::string const& address)
{
    auto const colon = address.rfind(':');
    return {boost::asio::ip::make_address(address.substr(0, colon)),
            static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))};
}

} // namespace

/** One link: its listener and its connections. */
class link_proxies::link : public std::enable_shared_from_this<link> {
public:
    link(boost::asio::io_context& loop, std::string const& listen, std::string const& server)
        : loop_(loop), server_(endpoint(server)), acceptor_(loop, endpoint(listen))
    {
    }

    void accept()
    {
        acceptor_.async_accept(
            [self = shared_from_this()](boost::system::error_code error, tcp::socket socket) {
                if (error) {
                    return;
                }
                self->open(std::move(socket));
                self->accept();
            });
    }

    void break_with(link_fault fault)
    {
        delayed_ = fault == link_fault::delay;
        refuses_ = fault == link_fault::refuse_new;
        bool const mute = fault == link_fault::mute_all;
        mute_up_ = mute || fault == link_fault::mute_up;
        mute_down_ = mute || fault == link_fault::mute_down;
        for (auto const& weak : pipes_) {
            if (auto const pipe = weak.lock()) {
                pipe->up.muted |= mute_up_ || fault == link_fault::mute_open;
                pipe->down.muted |= mute_down_ || fault == link_fault::mute_open;
                if (fault == link_fault::reset) {
                    reset(pipe->near);
                    reset(pipe->far);
                }
            }
        }
    }

    void mend() { delayed_ = refuses_ = mute_up_ = mute_down_ = false; }

private:
    struct direction {
        std::array<char, buffer_bytes> buffer{};
        bool muted = false;
    };

    struct pipe {
        pipe(tcp::socket client, tcp::socket server, boost::asio::io_context& loop)
            : near(std::move(client)), far(std::move(server)), up_timer(loop), down_timer(loop)
        {
        }
        tcp::socket near;
        tcp::socket far;
        direction up;
        direction down;
        boost::asio::steady_timer up_timer;
        boost::asio::steady_timer down_timer;
    };

    static void reset(tcp::socket& socket)
    {
        boost::system::error_code closed_already;
        socket.set_option(boost::asio::socket_base::linger(true, 0), closed_already);
        socket.close(closed_already);
    }

    void open(tcp::socket client)
    {
        if (refuses_) {
            reset(client);
            return;
        }
        tcp::socket server(loop_);
        boost::system::error_code error;
        server.connect(server_, error);
        if (error) {
            reset(client);
            return;
        }
        client.set_option(tcp::no_delay(true), error);
        server.set_option(tcp::no_delay(true), error);
        auto const opened = std::make_shared<pipe>(std::move(client), std::move(server), loop_);
        opened->up.muted = mute_up_;
        opened->down.muted = mute_down_;
        std::erase_if(pipes_, [](auto const& each) { return each.expired(); });
        pipes_.push_back(opened);
        forward(opened, true);
        forward(opened, false);
    }

    void forward(std::shared_ptr<pipe> const& pipe, bool upwards)
    {
        tcp::socket& from = upwards ? pipe->near : pipe->far;
        direction& way = upwards ? pipe->up : pipe->down;
        from.async_read_some(
            boost::asio::buffer(way.buffer),
            [self = shared_from_this(), pipe, upwards, &way](boost::system::error_code error,
                                                             std::size_t size) {
                boost::system::error_code closed_already;
                if (error) {
                    pipe->near.close(closed_already);
                    pipe->far.close(closed_already);
                    return;
                }
                if (way.muted) {
                    self->forward(pipe, upwards);
                    return;
                }
                boost::asio::steady_timer& timer = upwards ? pipe->up_timer : pipe->down_timer;
                if (!self->delayed_) {
                    self->pass_on(pipe, upwards, size);
                    return;
                }
                timer.expires_after(delay_time);
                timer.async_wait([self, pipe, upwards, size](boost::system::error_code) {
                    self->pass_on(pipe, upwards, size);
                });
            });
    }

    void pass_on(std::shared_ptr<pipe> const& pipe, bool upwards, std::size_t size)
    {
        direction& way = upwards ? pipe->up : pipe->down;
        boost::asio::async_write(upwards ? pipe->far : pipe->near,
                                 boost::asio::buffer(way.buffer.data(), size),
                                 [self = shared_from_this(), pipe,
                                  upwards](boost::system::error_code error, std::size_t) {
                                     if (!error) {
                                         self->forward(pipe, upwards);
                                         return;
                                     }
                                     boost::system::error_code closed_already;
                                     pipe->near.close(closed_already);
                                     pipe->far.close(closed_already);
                                 });
    }

    boost::asio::io_context& loop_;
    tcp::endpoint server_;
    tcp::acceptor acceptor_;
    std::vector<std::weak_ptr<pipe>> pipes_;
    bool delayed_ = false;
    bool refuses_ = false;
    bool mute_up_ = false;
    bool mute_down_ = false;
};

link_proxies::link_proxies()
    : work_(boost::asio::make_work_guard(loop_)), thread_([this] { loop_.run(); })
{
}

link_proxies::~link_proxies()
{
    loop_.stop();
    thread_.join();
}

void link_proxies::run_on_loop(std::function<void()> action)
{
    std::packaged_task<void()> task(std::move(action));
    auto done = task.get_future();
    boost::asio::post(loop_, [&task] { task(); });
    done.get();
}

std::size_t link_proxies::add(std::string const& listen, std::string const& server)
{
    run_on_loop([&] {
        links_.push_back(std::make_shared<link>(loop_, listen, server));
        links_.back()->accept();
    });
    return links_.size() - 1;
}

void link_proxies::break_link(std::size_t number, link_fault fault)
{
    run_on_loop([&] { links_.at(number)->break_with(fault); });
}

void link_proxies::mend_link(std::size_t number)
{
    run_on_loop([&] { links_.at(number)->mend(); });
}

} // namespace cove
