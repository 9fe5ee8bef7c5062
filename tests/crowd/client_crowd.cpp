#include "crowd/client_crowd.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <optional>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace cove {

namespace {

constexpr milliseconds watch_interval{20};
constexpr int small_buffer = 4096; ///< of a socket that is not read

struct client {
    int socket = -1;
    std::size_t sent = 0;
    mono_time next_write{};
};

int connect_to(int port, bool reads)
{
    int const socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (!reads) {
        ::setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &small_buffer, sizeof small_buffer);
    }
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    name.sin_port = htons(static_cast<std::uint16_t>(port));
    static_cast<void>(::connect(socket, reinterpret_cast<sockaddr*>(&name), sizeof name));
    return socket;
}

/** @return the bytes of the stream from @p at on, up to one write. */
std::string next_bytes(crowd_plan const& plan, std::size_t at)
{
    if (at < plan.head.size()) {
        return plan.head.substr(at, plan.piece);
    }
    at -= plan.head.size();
    if (at >= plan.bytes) {
        return at - plan.bytes < plan.tail.size() ? plan.tail.substr(at - plan.bytes) : "";
    }
    std::size_t const size = std::min(plan.piece, plan.bytes - at);
    std::string out = plan.repeated.substr(at % plan.repeated.size());
    while (out.size() < size) {
        out += plan.repeated;
    }
    out.resize(size);
    return out;
}

/** Sends and reads what is possible. @return whether the connection is still open. */
bool step(client& one, crowd_plan const& plan, short events)
{
    if ((events & POLLOUT) != 0) {
        std::string const bytes = next_bytes(plan, one.sent);
        auto const sent = ::send(one.socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent < 0 && errno != EAGAIN) {
            return false;
        }
        one.sent += sent > 0 ? static_cast<std::size_t>(sent) : 0;
        one.next_write = read_clocks().mono + plan.pause;
    }
    if (plan.reads && (events & POLLIN) != 0) {
        std::array<char, 16'384> buffer{};
        auto const got = ::recv(one.socket, buffer.data(), buffer.size(), 0);
        return got > 0 || (got < 0 && errno == EAGAIN);
    }
    return (events & (POLLERR | POLLHUP)) == 0;
}

} // namespace

void run_crowd(int port, crowd_plan const& plan, std::function<void()> const& watch)
{
    std::size_t const all = plan.head.size() + plan.bytes + plan.tail.size();
    std::vector<client> clients(plan.clients);
    for (client& each : clients) {
        each.socket = connect_to(port, plan.reads);
    }
    mono_time const end = read_clocks().mono + plan.time;
    mono_time next_watch{};
    std::optional<mono_time> sent_at;
    while (read_clocks().mono < end && !(plan.until && plan.until()) &&
           !(sent_at && read_clocks().mono >= *sent_at + plan.hold)) {
        mono_time const now = read_clocks().mono;
        std::vector<pollfd> polled;
        bool sending = false;
        for (client const& each : clients) {
            bool const unsent = each.socket >= 0 && each.sent < all;
            sending = sending || unsent;
            polled.push_back({each.socket,
                              static_cast<short>((unsent && now >= each.next_write ? POLLOUT : 0) |
                                                 (plan.reads ? POLLIN : 0)),
                              0});
        }
        if (!sending && !sent_at) {
            sent_at = read_clocks().mono;
        }
        ::poll(polled.data(), polled.size(), static_cast<int>(watch_interval.count()));
        for (std::size_t i = 0; i < clients.size(); ++i) {
            if (polled[i].revents != 0 && !step(clients[i], plan, polled[i].revents)) {
                ::close(std::exchange(clients[i].socket, -1));
            }
        }
        if (read_clocks().mono >= next_watch) {
            watch();
            next_watch = read_clocks().mono + watch_interval;
        }
    }
    for (client const& each : clients) {
        if (each.socket >= 0) {
            ::close(each.socket);
        }
    }
}

} // namespace cove
