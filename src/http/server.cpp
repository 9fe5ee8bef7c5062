#include "http/server.h"

#include "core/address.h"
#include "http/server_connection.h"

namespace cove {

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr int backlog = 1024; ///< shorter queues drop openings of a burst, which cost seconds
constexpr milliseconds sweep_interval{250}; ///< time-outs of clients are that exact
constexpr milliseconds accept_pause{50};    ///< after a failed accept, as for want of descriptors

} // namespace

http_server::http_server(boost::asio::io_context& loop, loop_timers& timers, server_hooks hooks)
    : loop_(loop), timers_(timers), hooks_(std::move(hooks)), acceptor_(loop)
{
}

http_server::~http_server()
{
    timers_.cancel(sweep_);
}

result<void> http_server::start(std::string const& listen_address)
{
    auto const where = parse_address(listen_address);
    if (!where) {
        return tl::make_unexpected(where.error());
    }
    error_code error;
    auto const ip = boost::asio::ip::make_address(where->ip, error);
    tcp::endpoint const endpoint(ip, static_cast<std::uint16_t>(where->port));
    if (!error) {
        acceptor_.open(endpoint.protocol(), error);
    }
    if (!error) {
        acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
        acceptor_.bind(endpoint, error);
    }
    if (!error) {
        acceptor_.listen(backlog, error);
    }
    if (error) {
        return fail("http.listen", listen_address, error.message());
    }
    sweep_ = timers_.every(sweep_interval, [this] { sweep(); });
    accept();
    return {};
}

void http_server::accept()
{
    acceptor_.async_accept(loop_, [this](error_code error, tcp::socket socket) {
        if (!acceptor_.is_open()) {
            return;
        }
        if (error) {
            timers_.once(read_clocks().mono + accept_pause, [this] { accept(); });
            return;
        }
        auto connection = std::make_shared<server_connection>(*this, std::move(socket));
        connections_[connection.get()] = connection;
        connection->start();
        accept();
    });
}

void http_server::respond(call_id call, http_response response)
{
    auto const found = calls_.find(call);
    if (found == calls_.end()) {
        return;
    }
    server_connection* const connection = found->second;
    calls_.erase(found);
    connection->respond(std::move(response));
}

std::string http_server::client_of(call_id call) const
{
    auto const found = calls_.find(call);
    return found == calls_.end() ? std::string() : found->second->client();
}

void http_server::stop_accepting()
{
    error_code ignored; // an acceptor that fails to close accepts nothing either
    acceptor_.close(ignored);
}

void http_server::sweep()
{
    mono_time const now = read_clocks().mono;
    auto const all = connections_; // closing removes entries
    for (auto const& [key, connection] : all) {
        connection->check_time(now);
    }
}

void http_server::close_idle()
{
    auto const all = connections_;
    for (auto const& [key, connection] : all) {
        connection->close_if_idle();
    }
}

} // namespace cove
