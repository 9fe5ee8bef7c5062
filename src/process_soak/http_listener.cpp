#include "process_soak/http_listener.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

namespace cove {

namespace {

constexpr std::size_t keep_alive_requests = 10'000'000;
constexpr time_t keep_alive_seconds = 10;

bool is_free(int port)
{
    int const socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_addr.s_addr = htonl(INADDR_ANY);
    name.sin_port = htons(static_cast<std::uint16_t>(port));
    bool const free = ::bind(socket, reinterpret_cast<sockaddr*>(&name), sizeof name) == 0;
    static_cast<void>(::close(socket));
    return free;
}

} // namespace

http_listener::http_listener(std::size_t threads)
{
    server.new_task_queue = [threads] { return new httplib::ThreadPool(threads); };
    server.set_keep_alive_max_count(keep_alive_requests);
    server.set_keep_alive_timeout(keep_alive_seconds);
    server.set_tcp_nodelay(true);
}

http_listener::~http_listener()
{
    stop();
}

bool http_listener::start(std::string const& ip, int port)
{
    if (!server.bind_to_port(ip, port)) {
        return false;
    }
    thread_ = std::thread([this] { server.listen_after_bind(); });
    return true;
}

void http_listener::stop()
{
    if (thread_.joinable()) {
        server.stop();
        thread_.join();
    }
}

int free_port_block(int count)
{
    constexpr int first_port = 12'000;
    constexpr int port_count = 20'000; // all below the range of connections
    int const blocks = port_count / count;
    for (int i = 0; i < blocks; ++i) {
        int const first = first_port + (static_cast<int>(::getpid()) + i) % blocks * count;
        int free = 0;
        while (free < count && is_free(first + free)) {
            ++free;
        }
        if (free == count) {
            return first;
        }
    }
    return 0;
}

} // namespace cove
