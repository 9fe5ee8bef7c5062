#include "net/socket_stream.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <poll.h>
#include <sys/socket.h>

namespace cove {

namespace {

void parse_socket_address(sockaddr_storage const& address, std::string& ip, int& port)
{
    std::array<char, INET6_ADDRSTRLEN> text{};
    if (address.ss_family == AF_INET) {
        auto const& v4 = reinterpret_cast<sockaddr_in const&>(address);
        inet_ntop(AF_INET, &v4.sin_addr, text.data(), text.size());
        port = ntohs(v4.sin_port);
    }
    else if (address.ss_family == AF_INET6) {
        auto const& v6 = reinterpret_cast<sockaddr_in6 const&>(address);
        inet_ntop(AF_INET6, &v6.sin6_addr, text.data(), text.size());
        port = ntohs(v6.sin6_port);
    }
    ip = text.data();
}

} // namespace

short wait_for_socket(int socket, short events, milliseconds timeout)
{
    pollfd polled{socket, events, 0};
    int ready = 0;
    do {
        ready = ::poll(&polled, 1, static_cast<int>(timeout.count()));
    } while (ready < 0 && errno == EINTR);
    return ready > 0 ? polled.revents : static_cast<short>(0);
}

bool socket_stream::is_readable() const
{
    return has_buffered() || wait_for_socket(socket_, POLLIN, timeout_) != 0;
}

bool socket_stream::is_writable() const
{
    return (wait_for_socket(socket_, POLLOUT, timeout_) & POLLOUT) != 0;
}

ssize_t socket_stream::read(char* to, size_t size)
{
    if (!has_buffered()) {
        if (!is_readable()) {
            return -1;
        }
        ssize_t const received = ::recv(socket_, buffer_.data(), buffer_.size(), 0);
        if (received <= 0) {
            return received;
        }
        next_ = 0;
        end_ = static_cast<std::size_t>(received);
    }
    std::size_t const count = std::min(size, end_ - next_);
    std::memcpy(to, buffer_.data() + next_, count);
    next_ += count;
    return static_cast<ssize_t>(count);
}

ssize_t socket_stream::write(char const* from, size_t size)
{
    if (!is_writable()) {
        return -1;
    }
    return ::send(socket_, from, size, MSG_NOSIGNAL);
}

void socket_stream::get_remote_ip_and_port(std::string& ip, int& port) const
{
    sockaddr_storage address{};
    socklen_t length = sizeof address;
    if (::getpeername(socket_, reinterpret_cast<sockaddr*>(&address), &length) == 0) {
        parse_socket_address(address, ip, port);
    }
}

void socket_stream::get_local_ip_and_port(std::string& ip, int& port) const
{
    sockaddr_storage address{};
    socklen_t length = sizeof address;
    if (::getsockname(socket_, reinterpret_cast<sockaddr*>(&address), &length) == 0) {
        parse_socket_address(address, ip, port);
    }
}

} // namespace cove
