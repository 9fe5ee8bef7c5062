#include "http/server.h"

#include "core/address.h"
#include "http/server_connection.h"

#include <cerrno>

namespace cove {

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

/// A shorter queue drops connection requests in a burst; their retransmission takes seconds.
constexpr int listen_backlog = 1024;
/// Precision of client timeouts, and of the notice that a client left after more than its request.
constexpr milliseconds end_check_interval{250};
/// Wait after a failure to accept, for example because no file descriptor is free.
constexpr milliseconds accept_retry_delay{50};

/** @return whether accepting failed because of the connection taken from the queue, as in
 * accept(2). */
bool concerns_one_connection(error_code error)
{
    switch (error.value()) {
    case ECONNABORTED:
    case ECONNRESET:
    case EHOSTDOWN:
    case EHOSTUNREACH:
    case ENETDOWN:
    case ENETUNREACH:
    case ENONET:
    case ENOPROTOOPT:
    case EOPNOTSUPP:
    case EPERM:
    case EPROTO:
    case ETIMEDOUT:
        return true;
    default:
        return false;
    }
}

} // namespace

http_server::http_server(boost::asio::io_context& loop, loop_timers& timers, server_hooks hooks)
    : loop_(loop), timers_(timers), hooks_(std::move(hooks)), acceptor_(loop)
{
}

http_server::~http_server()
{
    timers_.cancel(end_check_);
}

result<void> http_server::start(std::string const& listen_address)
{
    auto const address = parse_address(listen_address);
    if (!address) {
        return tl::make_unexpected(address.error());
    }
    error_code error;
    auto const ip = boost::asio::ip::make_address(address->ip, error);
    tcp::endpoint const endpoint(ip, static_cast<std::uint16_t>(address->port));
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
        // Without it, a connection that its client ended first stops the queue until the next one.
        acceptor_.set_option(boost::asio::socket_base::enable_connection_aborted(true), error);
    }
    if (!error) {
        acceptor_.listen(listen_backlog, error);
    }
    if (error) {
        return fail("http.listen", listen_address, error.message());
    }
    end_check_ = timers_.every(end_check_interval, [this] { close_ended(); });
    accept();
    return {};
}

void http_server::accept()
{
    acceptor_.async_accept(loop_, [this](error_code error, tcp::socket socket) {
        if (!error) {
            add(std::move(socket));
        }
        if (!accepting()) {
            return;
        }
        if (error) {
            on_accept_error(error);
            return;
        }
        accept();
    });
}

/** Serves a new connection, or closes it if there is no room. */
void http_server::add(tcp::socket socket)
{
    if (!make_room()) {
        return;
    }
    auto connection = std::make_shared<server_connection>(*this, std::move(socket));
    connections_[connection.get()] = connection;
    connection->start();
}

/**
 * At the bound, closes the connection that brought least in its time, of those on which no request
 * is being worked on. @return whether one more may be open.
 */
bool http_server::make_room()
{
    if (connections_.size() < max_connections_) {
        return true;
    }
    ++over_bound_;
    std::vector<server_connection*> candidates;
    std::vector<waiting_connection> waiting;
    for (auto const& [key, connection] : connections_) {
        if (auto const state = connection->waiting()) {
            candidates.push_back(key);
            waiting.push_back(*state);
        }
    }
    auto const chosen = choose_to_close(waiting, read_clocks().mono);
    if (!chosen) {
        return false;
    }
    candidates[*chosen]->close();
    return true;
}

void http_server::on_accept_error(error_code error)
{
    ++accept_errors_;
    if (hooks_.accept_failed) {
        hooks_.accept_failed(error.message());
    }
    if (concerns_one_connection(error)) {
        accept();
        return;
    }
    timers_.once(read_clocks().mono + accept_retry_delay, [this] { accept(); });
}

void http_server::respond(call_id call, http_response response)
{
    auto const found = calls_.find(call);
    if (found == calls_.end()) {
        return;
    }
    server_connection* const connection = found->second;
    calls_.erase(found);
    connection->respond(call, std::move(response));
}

void http_server::abandon(call_id call)
{
    auto const found = calls_.find(call);
    if (found != calls_.end()) {
        found->second->close();
    }
}

std::string http_server::client_ip(call_id call) const
{
    auto const found = calls_.find(call);
    return found == calls_.end() ? std::string() : found->second->client_ip();
}

bool http_server::client_connected(call_id call) const
{
    auto const found = calls_.find(call);
    return found != calls_.end() && !found->second->client_left();
}

void http_server::stop_accepting()
{
    error_code error;
    acceptor_.non_blocking(true, error);
    for (int i = 0; i < listen_backlog && (!error || concerns_one_connection(error)); ++i) {
        tcp::socket socket(loop_);
        acceptor_.accept(socket, error);
        if (!error) {
            add(std::move(socket));
        }
    }
    acceptor_.close(error); // nothing is accepted even if this fails
}

server_debts operator+(server_debts const& left, server_debts const& right)
{
    return {left.connections + right.connections, left.unanswered + right.unanswered,
            left.unsent + right.unsent, left.unacknowledged_bytes + right.unacknowledged_bytes};
}

server_debts http_server::debts() const
{
    server_debts sum;
    for (auto const& [key, connection] : connections_) {
        sum = sum + connection->debts();
    }
    return sum;
}

void http_server::close_ended()
{
    mono_time const now = read_clocks().mono;
    auto const all = connections_; // a copy, because closing removes entries
    for (auto const& [key, connection] : all) {
        connection->close_if_ended(now);
    }
}

void http_server::refuse_unfinished()
{
    auto const all = connections_;
    for (auto const& [key, connection] : all) {
        connection->refuse_unfinished();
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
