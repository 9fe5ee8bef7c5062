#pragma once
/** @file Free ports for tests, so that two test runs on one machine do not conflict. */

#include <arpa/inet.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace cove {

/** @return a loopback port that is free now; another process may take it before it is used. */
inline int free_port()
{
    int const socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof name;
    static_cast<void>(::bind(socket, reinterpret_cast<sockaddr*>(&name), length));
    ::getsockname(socket, reinterpret_cast<sockaddr*>(&name), &length);
    static_cast<void>(::close(socket));
    return ntohs(name.sin_port);
}

/** @return @p port on the loopback interface as IP:port. */
inline std::string loopback(int port)
{
    return "127.0.0.1:" + std::to_string(port);
}

} // namespace cove
