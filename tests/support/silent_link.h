#pragma once
/** @file Makes open TCP connections of this process fall silent without a reset. */

#include <arpa/inet.h>
#include <linux/filter.h>
#include <sys/resource.h>
#include <sys/socket.h>

namespace cove {

/**
 * Drops all packets that arrive from now on at the open connections that were accepted on
 * @p port: the other side gets no acknowledgement, neither of data nor of keep-alive probes. New
 * connections are not affected.
 * @return the number of connections.
 */
inline int silence_connections_to(int port)
{
    sock_filter drop_all{BPF_RET | BPF_K, 0, 0, 0};
    sock_fprog const program{1, &drop_all};
    rlimit descriptors{};
    ::getrlimit(RLIMIT_NOFILE, &descriptors);
    int silenced = 0;
    for (int fd = 0; fd < static_cast<int>(descriptors.rlim_cur); ++fd) {
        sockaddr_in local{};
        sockaddr_in remote{};
        socklen_t local_size = sizeof local;
        socklen_t remote_size = sizeof remote;
        bool const connected =
            ::getsockname(fd, reinterpret_cast<sockaddr*>(&local), &local_size) == 0 &&
            ::getpeername(fd, reinterpret_cast<sockaddr*>(&remote), &remote_size) == 0;
        if (connected && local.sin_family == AF_INET && ntohs(local.sin_port) == port &&
            ::setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program) == 0) {
            ++silenced;
        }
    }
    return silenced;
}

} // namespace cove
