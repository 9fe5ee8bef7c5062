#pragma once
/** @file Test fixture: an object store that listens on a free loopback port. */

#include "net/threaded_http_server.h"
#include "standin/object_store.h"

#include <memory>
#include <stdexcept>
#include <unistd.h>

namespace cove {

inline constexpr int first_test_port = 26000;
inline constexpr int test_port_count = 1000;

/**
 * @return the next port to try. The first one depends on the process id, so that test programs
 * that run at the same time start at different ports.
 */
inline int next_test_port()
{
    static int next = static_cast<int>(getpid()) * 7;
    return first_test_port + next++ % test_port_count;
}

/** Serves an object_store over HTTP until destroyed. */
class local_store {
public:
    local_store()
    {
        for (int i = 0; i < test_port_count; ++i) {
            address_ = "127.0.0.1:" + std::to_string(next_test_port());
            if (start()) {
                return;
            }
        }
        throw std::runtime_error("no free port");
    }
    ~local_store() { stop(); }
    local_store(local_store const&) = delete;
    local_store& operator=(local_store const&) = delete;
    local_store(local_store&&) = delete;
    local_store& operator=(local_store&&) = delete;

    /** Starts to serve at address(), also after stop(). @return whether the port was free. */
    bool start()
    {
        server_ = std::make_unique<threaded_http_server>(
            address_, [this](httplib::Server& s) { store.add_routes(s); });
        return server_->start().has_value();
    }

    /** Stops the server; the objects are kept. */
    void stop()
    {
        store.close();
        server_.reset();
        store.reopen();
    }

    [[nodiscard]] std::string const& address() const { return address_; }

    object_store store;

private:
    std::string address_;
    std::unique_ptr<threaded_http_server> server_;
};

} // namespace cove
