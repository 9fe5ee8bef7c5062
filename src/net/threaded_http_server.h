#pragma once
/** @file Multi-threaded HTTP server for many keep-alive connections, with graceful shutdown. */

#include "core/error.h"
#include "core/time_type.h"

#include <atomic>
#include <functional>
#include <httplib.h>
#include <mutex>
#include <string>
#include <thread>
#include <unordered_set>

namespace cove {

/** Callbacks for each connection, called on the thread that serves it. */
struct connection_hooks {
    std::function<void()> opened;
    std::function<void()> closed;
};

/** Serves HTTP on one address, with one thread per connection. */
class threaded_http_server {
public:
    /**
     * @param listen_address IP:port.
     * @param routes registers the request handlers.
     * @param hooks may have empty callbacks.
     */
    threaded_http_server(std::string listen_address,
                         std::function<void(httplib::Server&)> const& routes,
                         connection_hooks hooks = {});
    ~threaded_http_server();
    threaded_http_server(threaded_http_server const&) = delete;
    threaded_http_server& operator=(threaded_http_server const&) = delete;
    threaded_http_server(threaded_http_server&&) = delete;
    threaded_http_server& operator=(threaded_http_server&&) = delete;

    /** Binds and starts serving. @return the error if that fails. */
    result<void> start();

    /** Closes idle connections now and each busy one after its response; new ones are served. */
    void close_connections_when_idle();

    /** Stops accepting connections and waits until the requests in progress are completed. */
    void stop();

    /** @return whether the client of the request that this thread serves has disconnected. */
    static bool client_disconnected();

private:
    /** httplib's server with a connection loop that can be ended early. */
    class server : public httplib::Server {
    public:
        explicit server(connection_hooks hooks) : hooks_(std::move(hooks)) {}
        void close_when_idle();
        [[nodiscard]] bool closing() const { return closing_; }

    private:
        bool process_and_close_socket(socket_t socket) override;
        void serve(int socket);
        bool await_request(int socket);

        connection_hooks hooks_;
        std::atomic<bool> closing_ = false;
        std::mutex mutex_;
        std::unordered_set<int> idle_sockets_; ///< of connections between two requests
    };

    std::string listen_address_;
    server server_;
    std::jthread thread_;
};

/** @return a client with keep-alive, TCP_NODELAY and @p timeout to connect, read and write. */
std::unique_ptr<httplib::Client> make_http_client(std::string const& ip, int port,
                                                  std::chrono::microseconds timeout);

} // namespace cove
