#include "peer/loop_transport.h"

#include <algorithm>

namespace cove {

namespace {

constexpr int max_messages_per_turn = 8; ///< received before the loop does other work
/// A ZeroMQ context has 1,023 sockets; a host that sees no address twice would use them up.
constexpr std::size_t max_open_peers = 512;
constexpr int send_queue_limit = 64;            ///< messages per peer; more would be outdated
constexpr int reconnect_interval_ms = 200;      ///< first wait before a reconnect
constexpr int reconnect_interval_max_ms = 1000; ///< longest wait before a reconnect
constexpr int connect_timeout_ms = 1000; ///< a host behind a network partition does not answer
/// A connection whose peer leaves data unacknowledged for this long is closed as dead.
constexpr int retransmit_timeout_ms = 1500;

void configure(zmq::socket_t& socket)
{
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::sndhwm, send_queue_limit);
    socket.set(zmq::sockopt::rcvhwm, send_queue_limit * send_queue_limit);
    socket.set(zmq::sockopt::reconnect_ivl, reconnect_interval_ms);
    socket.set(zmq::sockopt::reconnect_ivl_max, reconnect_interval_max_ms);
    socket.set(zmq::sockopt::connect_timeout, connect_timeout_ms);
    socket.set(zmq::sockopt::tcp_maxrt, retransmit_timeout_ms);
}

} // namespace

loop_transport::loop_transport(boost::asio::io_context& loop, int port, message_handler on_message)
    : port_(port), on_message_(std::move(on_message)), incoming_(context_, zmq::socket_type::pull),
      readable_(loop)
{
}

loop_transport::~loop_transport()
{
    if (readable_.is_open()) {
        readable_.release(); // ZeroMQ closes its descriptor itself
    }
}

result<void> loop_transport::start(std::string const& ip)
{
    std::string const endpoint = "tcp://" + ip + ":" + std::to_string(port_);
    try {
        configure(incoming_);
        incoming_.bind(endpoint);
    }
    catch (zmq::error_t const& error) {
        return fail("peer.listen", endpoint, error.what());
    }
    readable_.assign(incoming_.get(zmq::sockopt::fd));
    wait_readable();
    return {};
}

void loop_transport::wait_readable()
{
    readable_.async_wait(boost::asio::posix::stream_descriptor::wait_read,
                         [this](boost::system::error_code error) {
                             if (!error) {
                                 receive_pending();
                             }
                         });
}

/**
 * Receives until nothing is pending, because ZeroMQ's descriptor is edge-triggered, but lets the
 * loop do other work after a few messages.
 */
void loop_transport::receive_pending()
{
    for (int i = 0; i < max_messages_per_turn; ++i) {
        zmq::message_t message;
        if ((incoming_.get(zmq::sockopt::events) & ZMQ_POLLIN) == 0 ||
            !incoming_.recv(message, zmq::recv_flags::dontwait)) {
            wait_readable();
            return;
        }
        on_message_(message.to_string());
    }
    // ZeroMQ's descriptor is always writable, so this continues in the next turn.
    readable_.async_wait(boost::asio::posix::stream_descriptor::wait_write,
                         [this](boost::system::error_code error) {
                             if (!error) {
                                 receive_pending();
                             }
                         });
}

void loop_transport::send(std::string const& ip, std::string const& bytes)
{
    if (zmq::socket_t* const socket = socket_to(ip)) {
        socket->send(zmq::buffer(bytes), zmq::send_flags::dontwait);
    }
    else {
        ++unsent_messages_;
    }
}

zmq::socket_t* loop_transport::socket_to(std::string const& ip)
{
    auto peer = peers_.find(ip);
    if (peer == peers_.end()) {
        if (peers_.size() >= max_open_peers) {
            peers_.erase(
                std::min_element(peers_.begin(), peers_.end(), [](auto const& a, auto const& b) {
                    return a.second.last_use < b.second.last_use;
                }));
        }
        try {
            zmq::socket_t socket(context_, zmq::socket_type::push);
            configure(socket);
            socket.connect("tcp://" + ip + ":" + std::to_string(port_));
            peer = peers_.emplace(ip, sender{std::move(socket)}).first;
        }
        catch (zmq::error_t const&) {
            return nullptr; // out of descriptors, or ZeroMQ has not ended closed sockets yet
        }
    }
    peer->second.last_use = ++messages_sent_;
    return &peer->second.socket;
}

} // namespace cove
