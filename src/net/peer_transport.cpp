#include "net/peer_transport.h"

#include <array>
#include <map>

namespace cove {

namespace {

constexpr int high_water_mark = 10000;     ///< messages per queue
constexpr milliseconds poll_interval{100}; ///< longest delay until a stop request is noticed
constexpr int heartbeat_interval_ms = 1000;
constexpr int heartbeat_timeout_ms = 3000;      ///< a connection silent for this long is closed
constexpr int reconnect_interval_ms = 50;       ///< first wait before a reconnect
constexpr int reconnect_interval_max_ms = 1000; ///< longest wait before a reconnect
constexpr char const* queue_endpoint = "inproc://outgoing";

void configure(zmq::socket_t& socket)
{
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::sndhwm, high_water_mark);
    socket.set(zmq::sockopt::rcvhwm, high_water_mark);
    socket.set(zmq::sockopt::heartbeat_ivl, heartbeat_interval_ms);
    socket.set(zmq::sockopt::heartbeat_timeout, heartbeat_timeout_ms);
    socket.set(zmq::sockopt::reconnect_ivl, reconnect_interval_ms);
    socket.set(zmq::sockopt::reconnect_ivl_max, reconnect_interval_max_ms);
}

zmq::socket_t connect_peer(zmq::context_t& context, std::string const& address)
{
    zmq::socket_t socket(context, zmq::socket_type::push);
    configure(socket);
    socket.connect("tcp://" + address);
    return socket;
}

} // namespace

peer_transport::peer_transport(peer_transport_options options)
    : options_(std::move(options)), outgoing_(context_, zmq::socket_type::push),
      outgoing_receiver_(context_, zmq::socket_type::pull),
      incoming_(context_, zmq::socket_type::pull), publisher_(context_, zmq::socket_type::xpub)
{
}

peer_transport::~peer_transport()
{
    thread_.request_stop();
    if (thread_.joinable()) {
        thread_.join();
    }
}

result<void> peer_transport::start()
{
    std::string endpoint;
    try {
        endpoint = queue_endpoint;
        configure(outgoing_receiver_);
        configure(outgoing_);
        outgoing_receiver_.bind(queue_endpoint);
        outgoing_.connect(queue_endpoint);
        if (!options_.listen_address.empty()) {
            endpoint = options_.listen_address;
            configure(incoming_);
            incoming_.bind("tcp://" + endpoint);
        }
        if (!options_.publish_address.empty()) {
            endpoint = options_.publish_address;
            configure(publisher_);
            publisher_.set(zmq::sockopt::xpub_verbose, true);
            publisher_.bind("tcp://" + endpoint);
        }
    }
    catch (zmq::error_t const& error) {
        return fail("peer.listen", endpoint, error.what());
    }
    thread_ = std::jthread([this](std::stop_token const& stop) { run(stop); });
    return {};
}

void peer_transport::send(std::string const& address, std::string const& bytes)
{
    std::array<zmq::const_buffer, 2> const parts{zmq::buffer(address), zmq::buffer(bytes)};
    outgoing_.send(parts[0], zmq::send_flags::sndmore | zmq::send_flags::dontwait);
    outgoing_.send(parts[1], zmq::send_flags::dontwait);
}

void peer_transport::publish(std::string const& bytes)
{
    send("", bytes);
}

void peer_transport::forward_outgoing(std::map<std::string, zmq::socket_t>& peers)
{
    zmq::message_t address_part;
    zmq::message_t body;
    while (outgoing_receiver_.recv(address_part, zmq::recv_flags::dontwait)) {
        if (!address_part.more() || !outgoing_receiver_.recv(body)) {
            continue;
        }
        if (address_part.empty()) {
            last_published_ = body.to_string();
            publisher_.send(body, zmq::send_flags::dontwait);
            continue;
        }
        std::string const address = address_part.to_string();
        auto peer = peers.find(address);
        if (peer == peers.end()) {
            peer = peers.emplace(address, connect_peer(context_, address)).first;
        }
        peer->second.send(body, zmq::send_flags::dontwait);
    }
}

/** Publishes the last message again when a new subscriber connects, as it may have missed it. */
void peer_transport::republish_to_new_subscribers()
{
    zmq::message_t subscription;
    bool subscribed = false;
    while (publisher_.recv(subscription, zmq::recv_flags::dontwait)) {
        subscribed = subscribed || (!subscription.empty() && *subscription.data<char>() != 0);
    }
    if (subscribed && !last_published_.empty()) {
        publisher_.send(zmq::buffer(last_published_), zmq::send_flags::dontwait);
    }
}

void peer_transport::run(std::stop_token const& stop)
{
    std::map<std::string, zmq::socket_t> peers;
    std::array<zmq::pollitem_t, 3> items{
        zmq::pollitem_t{outgoing_receiver_.handle(), 0, ZMQ_POLLIN, 0},
        zmq::pollitem_t{incoming_.handle(), 0, ZMQ_POLLIN, 0},
        zmq::pollitem_t{publisher_.handle(), 0, ZMQ_POLLIN, 0}};
    while (!stop.stop_requested()) {
        zmq::poll(items.data(), items.size(), poll_interval);
        forward_outgoing(peers);
        republish_to_new_subscribers();
        zmq::message_t message;
        while (incoming_.recv(message, zmq::recv_flags::dontwait)) {
            options_.received(message.to_string());
        }
    }
}

} // namespace cove
