#include "standin/standin_link_server.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace cove {

namespace {

constexpr int poll_interval_ms = 1; ///< while bytes are queued or cut; accuracy of delays
constexpr int idle_poll_ms = 20;    ///< while no bytes are queued
constexpr std::size_t max_queued_bytes = 1U << 20U; ///< per direction; no reads above this
constexpr std::size_t chunk_bytes = 64U << 10U;     ///< read buffer size
constexpr int backlog = 1024;
constexpr std::int64_t bytes_per_kilobyte = 1000;
constexpr std::int64_t us_per_s = 1'000'000;

sockaddr_in socket_address(address const& where)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(where.port));
    inet_pton(AF_INET, where.ip.c_str(), &out.sin_addr);
    return out;
}

void set_no_delay(int socket)
{
    int const on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

int connect_to(address const& where)
{
    int const socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in const name = socket_address(where);
    if (::connect(socket, reinterpret_cast<sockaddr const*>(&name), sizeof name) != 0) {
        ::close(socket);
        return -1;
    }
    set_no_delay(socket);
    return socket;
}

} // namespace

standin_link_server::standin_link_server(link_settings settings)
    : settings_(std::move(settings)), delay_ms_(settings_.delay.count()),
      jitter_ms_(settings_.jitter.count())
{
}

standin_link_server::~standin_link_server()
{
    if (thread_.joinable()) {
        thread_.request_stop();
        thread_.join();
    }
    for (connection const& item : connections_) {
        ::close(item.upstream.from);
        ::close(item.upstream.to);
    }
    ::close(listener_);
}

result<void> standin_link_server::start()
{
    auto const where = parse_address(settings_.address);
    if (!where || !parse_address(settings_.to)) {
        return fail("link.listen", settings_.address, "invalid address to listen on or forward to");
    }
    listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int const on = 1;
    setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in const name = socket_address(*where);
    if (::bind(listener_, reinterpret_cast<sockaddr const*>(&name), sizeof name) != 0 ||
        ::listen(listener_, backlog) != 0) {
        return fail("link.listen", settings_.address, "cannot bind or listen");
    }
    thread_ = std::jthread([this](std::stop_token const& stop) { run(stop); });
    return {};
}

void standin_link_server::set_delay(milliseconds delay, milliseconds jitter)
{
    delay_ms_ = delay.count();
    jitter_ms_ = jitter.count();
}

void standin_link_server::run(std::stop_token const& stop)
{
    while (!stop.stop_requested()) {
        std::vector<pollfd> poll_fds{{listener_, POLLIN, 0}};
        std::vector<direction*> readable;
        bool has_queued_bytes = false;
        for (connection& item : connections_) {
            for (direction* dir : {&item.upstream, &item.downstream}) {
                has_queued_bytes = has_queued_bytes || !dir->chunks.empty();
                if (!dir->read_closed && dir->queued_bytes < max_queued_bytes && !cut_) {
                    poll_fds.push_back({dir->from, POLLIN, 0});
                    readable.push_back(dir);
                }
            }
        }
        ::poll(poll_fds.data(), poll_fds.size(),
               has_queued_bytes || cut_ ? poll_interval_ms : idle_poll_ms);
        mono_time const now = read_clocks().mono;
        for (std::size_t i = 0; i < readable.size(); ++i) {
            if (poll_fds[i + 1].revents != 0) {
                receive(*readable[i], now);
            }
        }
        if (!cut_) {
            forward(now);
            if (poll_fds[0].revents != 0) {
                accept_one();
            }
        }
    }
}

void standin_link_server::accept_one()
{
    int const from = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (from < 0) {
        return;
    }
    int const to = connect_to(*parse_address(settings_.to));
    if (to < 0) {
        ::close(from);
        return;
    }
    set_no_delay(from);
    connection item;
    item.upstream.from = item.downstream.to = from;
    item.upstream.to = item.downstream.from = to;
    connections_.push_back(std::move(item));
}

microseconds standin_link_server::sample_delay()
{
    std::int64_t const jitter_us = jitter_ms_ * 1000;
    return milliseconds(delay_ms_) +
           microseconds(random_below(random_, static_cast<std::uint64_t>(jitter_us) + 1));
}

void standin_link_server::receive(direction& dir, mono_time now)
{
    std::array<char, chunk_bytes> buffer; // NOLINT(cppcoreguidelines-pro-type-member-init)
    ssize_t const got = ::recv(dir.from, buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (got < 0) {
        dir.broken = errno != EAGAIN && errno != EINTR;
        return;
    }
    if (got == 0) {
        dir.read_closed = true;
        return;
    }
    mono_time due = now + sample_delay();
    if (settings_.kilobytes_per_second > 0) {
        dir.link_free_at =
            std::max(dir.link_free_at, now) +
            microseconds(got * us_per_s / (settings_.kilobytes_per_second * bytes_per_kilobyte));
        due += dir.link_free_at - now;
    }
    if (!dir.chunks.empty()) {
        due = std::max(due, dir.chunks.back().due);
    }
    dir.queued_bytes += static_cast<std::size_t>(got);
    dir.chunks.push_back({due, std::string(buffer.data(), static_cast<std::size_t>(got))});
}

void standin_link_server::deliver(direction& dir, mono_time now)
{
    while (!dir.chunks.empty() && dir.chunks.front().due <= now && !dir.broken) {
        std::string& bytes = dir.chunks.front().bytes;
        ssize_t const sent =
            ::send(dir.to, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        if (sent < 0) {
            dir.broken = errno != EAGAIN && errno != EINTR;
            return;
        }
        bytes_ += static_cast<std::uint64_t>(sent);
        dir.queued_bytes -= static_cast<std::size_t>(sent);
        bytes.erase(0, static_cast<std::size_t>(sent));
        if (!bytes.empty()) {
            return;
        }
        dir.chunks.pop_front();
    }
    if (dir.read_closed && dir.chunks.empty() && !dir.write_closed) {
        dir.write_closed = true;
        ::shutdown(dir.to, SHUT_WR);
    }
}

void standin_link_server::forward(mono_time now)
{
    for (connection& item : connections_) {
        deliver(item.upstream, now);
        deliver(item.downstream, now);
    }
    connections_.remove_if([](connection const& item) {
        bool const finished = (item.upstream.write_closed && item.downstream.write_closed) ||
                              item.upstream.broken || item.downstream.broken;
        if (finished) {
            ::close(item.upstream.from);
            ::close(item.upstream.to);
        }
        return finished;
    });
}

} // namespace cove
