#include "peer/loop_transport.h"

namespace cove {

namespace {

constexpr int high_water_mark = 64;      ///< messages; older ones are worth nothing
constexpr int reconnect_ms = 200;        ///< first wait before a reconnect
constexpr int reconnect_max_ms = 1000;   ///< longest wait before a reconnect
constexpr int connect_timeout_ms = 1000; ///< a host behind a cut does not answer
constexpr int unacknowledged_ms = 1500;  ///< bytes left so long: the connection is dead

void configure(zmq::socket_t& socket)
{
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::sndhwm, high_water_mark);
    socket.set(zmq::sockopt::rcvhwm, high_water_mark * high_water_mark);
    socket.set(zmq::sockopt::reconnect_ivl, reconnect_ms);
    socket.set(zmq::sockopt::reconnect_ivl_max, reconnect_max_ms);
    socket.set(zmq::sockopt::connect_timeout, connect_timeout_ms);
    socket.set(zmq::sockopt::tcp_maxrt, unacknowledged_ms);
}

} // namespace

loop_transport::loop_transport(boost::asio::io_context& loop, int port, received_hook received)
    : port_(port), received_(std::move(received)), incoming_(context_, zmq::socket_type::pull),
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
    std::string const place = "tcp://" + ip + ":" + std::to_string(port_);
    try {
        configure(incoming_);
        incoming_.bind(place);
    }
    catch (zmq::error_t const& error) {
        return fail("peer.listen", place, error.what());
    }
    readable_.assign(incoming_.get(zmq::sockopt::fd));
    wait();
    return {};
}

void loop_transport::wait()
{
    readable_.async_wait(boost::asio::posix::stream_descriptor::wait_read,
                         [this](boost::system::error_code error) {
                             if (!error) {
                                 receive_all();
                                 wait();
                             }
                         });
}

/** ZeroMQ's descriptor is edge-triggered: all that is there has to be taken at once. */
void loop_transport::receive_all()
{
    while ((incoming_.get(zmq::sockopt::events) & ZMQ_POLLIN) != 0) {
        zmq::message_t message;
        if (!incoming_.recv(message, zmq::recv_flags::dontwait)) {
            return;
        }
        received_(message.to_string());
    }
}

void loop_transport::send(std::string const& ip, std::string const& bytes)
{
    auto peer = peers_.find(ip);
    if (peer == peers_.end()) {
        zmq::socket_t socket(context_, zmq::socket_type::push);
        configure(socket);
        socket.connect("tcp://" + ip + ":" + std::to_string(port_));
        peer = peers_.emplace(ip, std::move(socket)).first;
    }
    peer->second.send(zmq::buffer(bytes), zmq::send_flags::dontwait);
}

} // namespace cove
