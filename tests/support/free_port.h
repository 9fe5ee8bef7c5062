#pragma once
/** @file Free ports for tests, so that two test runs on one machine do not conflict. */

#include <arpa/inet.h>
#include <cstdint>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace cove {

/**
 * @return a loopback port that is free now. It is outside the range that connections get by
 * themselves, and each process begins elsewhere, so it is hardly taken before it is used.
 */
inline int free_port()
{
    constexpr int first_port = 12'000;
    constexpr int port_count = 20'000;  // all below the range of connections
    constexpr int process_stride = 211; // more than one test uses
    static int next = static_cast<int>(::getpid()) * process_stride % port_count;
    for (int tried = 0; tried < port_count; ++tried) {
        int const port = first_port + next;
        next = (next + 1) % port_count;
        int const socket = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in name{};
        name.sin_family = AF_INET;
        name.sin_addr.s_addr = htonl(INADDR_ANY);
        name.sin_port = htons(static_cast<std::uint16_t>(port));
        bool const is_free = ::bind(socket, reinterpret_cast<sockaddr*>(&name), sizeof name) == 0;
        static_cast<void>(::close(socket));
        if (is_free) {
            return port;
        }
    }
    return 0;
}

/** @return @p port on the loopback interface as IP:port. */
inline std::string loopback(int port)
{
    return "127.0.0.1:" + std::to_string(port);
}

} // namespace cove
