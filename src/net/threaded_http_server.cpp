#include "net/threaded_http_server.h"

#include "core/address.h"
#include "net/socket_stream.h"

#include <condition_variable>
#include <deque>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace cove {

namespace {

constexpr int listen_backlog = 1024; ///< connections that wait to be accepted
/// A connection on which no request starts to arrive for this long is closed.
constexpr milliseconds idle_timeout{5000};
constexpr milliseconds io_timeout{5000}; ///< limit of each single wait to read or write
/// Time in which a connection accepted during shutdown must send its first request.
constexpr milliseconds first_request_grace{100};
constexpr std::size_t max_body_bytes = 16U << 20U;

thread_local int served_socket = -1; ///< socket that this thread serves, or -1

/**
 * Runs each connection on a thread of its own, so that idle connections do not keep others waiting.
 * Idle threads are reused.
 */
class cached_thread_pool : public httplib::TaskQueue {
public:
    void enqueue(std::function<void()> task) override
    {
        std::lock_guard const lock(mutex_);
        tasks_.push_back(std::move(task));
        if (idle_threads_ < tasks_.size()) {
            threads_.emplace_back([this] { run(); });
        }
        ready_.notify_one();
    }

    void shutdown() override
    {
        {
            std::lock_guard const lock(mutex_);
            stopping_ = true;
        }
        ready_.notify_all();
        for (std::thread& thread : threads_) {
            thread.join();
        }
    }

private:
    void run()
    {
        std::unique_lock lock(mutex_);
        while (true) {
            ++idle_threads_;
            ready_.wait(lock, [this] { return stopping_ || !tasks_.empty(); });
            --idle_threads_;
            if (tasks_.empty()) {
                return;
            }
            auto const task = std::move(tasks_.front());
            tasks_.pop_front();
            lock.unlock();
            task();
            lock.lock();
        }
    }

    std::mutex mutex_;
    std::condition_variable ready_;
    std::deque<std::function<void()>> tasks_;
    std::vector<std::thread> threads_;
    std::size_t idle_threads_ = 0;
    bool stopping_ = false;
};

} // namespace

void threaded_http_server::server::close_when_idle()
{
    closing_ = true;
    std::lock_guard const lock(mutex_);
    for (int const socket : idle_sockets_) {
        ::shutdown(socket, SHUT_RD);
    }
}

bool threaded_http_server::server::process_and_close_socket(socket_t socket)
{
    if (hooks_.opened) {
        hooks_.opened();
    }
    served_socket = socket;
    serve(socket);
    served_socket = -1;
    ::shutdown(socket, SHUT_RDWR);
    ::close(socket);
    if (hooks_.closed) {
        hooks_.closed();
    }
    return true;
}

/** Serves the requests of one connection until either side closes it. */
void threaded_http_server::server::serve(int socket)
{
    socket_stream stream(socket, io_timeout);
    bool closed = false;
    while (!closed && (stream.has_buffered() || await_request(socket))) {
        if (!process_request(stream, closing_, closed, [](httplib::Request&) {})) {
            return;
        }
        closed = closed || closing_;
    }
}

/** @return whether a request starts to arrive before the idle timeout and before shutdown. */
bool threaded_http_server::server::await_request(int socket)
{
    {
        std::lock_guard const lock(mutex_);
        if (closing_) {
            return (wait_for_socket(socket, POLLIN, first_request_grace) & POLLIN) != 0;
        }
        idle_sockets_.insert(socket);
    }
    short const events = wait_for_socket(socket, POLLIN, idle_timeout);
    std::lock_guard const lock(mutex_);
    idle_sockets_.erase(socket);
    return (events & POLLIN) != 0;
}

threaded_http_server::threaded_http_server(std::string listen_address,
                                           std::function<void(httplib::Server&)> const& routes,
                                           connection_hooks hooks)
    : listen_address_(std::move(listen_address)), server_(std::move(hooks))
{
    server_.new_task_queue = [] { return new cached_thread_pool; };
    server_.set_tcp_nodelay(true);
    server_.set_payload_max_length(max_body_bytes);
    server_.set_post_routing_handler([this](httplib::Request const&, httplib::Response& response) {
        if (server_.closing()) {
            response.set_header("Connection", "close");
        }
    });
    routes(server_);
}

threaded_http_server::~threaded_http_server()
{
    stop();
}

result<void> threaded_http_server::start()
{
    auto const address = parse_address(listen_address_);
    if (!address) {
        return tl::make_unexpected(address.error());
    }
    int listener = -1;
    server_.set_socket_options([&listener](socket_t socket) {
        int const on = 1;
        setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        listener = socket;
    });
    if (!server_.bind_to_port(address->ip, address->port)) {
        return fail("http.listen", listen_address_, "cannot bind the listen address");
    }
    ::listen(listener, listen_backlog);
    thread_ = std::jthread([this] { server_.listen_after_bind(); });
    while (!server_.is_running()) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return {};
}

void threaded_http_server::close_connections_when_idle()
{
    server_.close_when_idle();
}

bool threaded_http_server::client_disconnected()
{
    return served_socket >= 0 &&
           wait_for_socket(served_socket, POLLRDHUP, milliseconds::zero()) != 0;
}

void threaded_http_server::stop()
{
    server_.close_when_idle();
    server_.stop();
    if (thread_.joinable()) {
        thread_.join();
    }
}

std::unique_ptr<httplib::Client> make_http_client(std::string const& ip, int port,
                                                  std::chrono::microseconds timeout)
{
    auto client = std::make_unique<httplib::Client>(ip, port);
    client->set_keep_alive(true);
    client->set_tcp_nodelay(true);
    client->set_connection_timeout(timeout);
    client->set_read_timeout(timeout);
    client->set_write_timeout(timeout);
    return client;
}

} // namespace cove
