#pragma once
/** @file An HTTP server of a stand-in, with threads of its own. */

#include <httplib.h>
#include <string>
#include <thread>

namespace cove {

class http_listener {
public:
    /** @param threads number of connections that are served at a time. */
    explicit http_listener(std::size_t threads);
    ~http_listener();
    http_listener(http_listener const&) = delete;
    http_listener& operator=(http_listener const&) = delete;
    http_listener(http_listener&&) = delete;
    http_listener& operator=(http_listener&&) = delete;

    httplib::Server server;

    /** @return whether it listens on @p ip and @p port. */
    bool start(std::string const& ip, int port);

    /** Ends it and closes its connections; the requests at work are finished. */
    void stop();

private:
    std::thread thread_;
};

/** @return a port P so that P to P + @p count - 1 are free, outside the range of connections. */
int free_port_block(int count);

} // namespace cove
