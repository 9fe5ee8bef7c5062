#pragma once
/** @file Adapter from a connected TCP socket to the stream interface of httplib. */

#include "core/time_type.h"

#include <array>
#include <httplib.h>

namespace cove {

/** Buffers reads; each wait for the socket is limited by the timeout. Does not own the socket. */
class socket_stream : public httplib::Stream {
public:
    socket_stream(int socket, milliseconds timeout) : socket_(socket), timeout_(timeout) {}

    [[nodiscard]] bool is_readable() const override;
    [[nodiscard]] bool is_writable() const override;
    ssize_t read(char* to, size_t size) override;
    ssize_t write(char const* from, size_t size) override;
    void get_remote_ip_and_port(std::string& ip, int& port) const override;
    void get_local_ip_and_port(std::string& ip, int& port) const override;
    [[nodiscard]] socket_t socket() const override { return socket_; }

    /** @return whether the buffer holds received bytes that were not read yet. */
    [[nodiscard]] bool has_buffered() const { return next_ < end_; }

private:
    static constexpr std::size_t buffer_bytes = 4096;

    int socket_;
    milliseconds timeout_;
    std::array<char, buffer_bytes> buffer_{};
    std::size_t next_ = 0; ///< first unread byte in the buffer
    std::size_t end_ = 0;  ///< end of the received bytes in the buffer
};

/** Waits until @p socket has one of the poll @p events. @return its events; 0 after a timeout. */
short wait_for_socket(int socket, short events, milliseconds timeout);

} // namespace cove
