#pragma once
/** @file Clients that keep connections to entry hosts and send one request after the other. */

#include "process_soak/run_recorder.h"

#include <atomic>
#include <set>
#include <thread>

namespace cove {

class client_pool {
public:
    /** @param recorder must outlive this object. */
    client_pool(run_recorder& recorder, std::string host_header);
    ~client_pool();
    client_pool(client_pool const&) = delete;
    client_pool& operator=(client_pool const&) = delete;
    client_pool(client_pool&&) = delete;
    client_pool& operator=(client_pool&&) = delete;

    /** Requests use the path @p prefix from now on. @param once they may run once at most. */
    void add_route(std::string const& prefix, bool once);

    /** Starts @p count clients of one entry host. */
    void start(std::string const& host, std::string const& ip, int port, int count);

    /** Ends all clients. */
    void stop();

private:
    struct route {
        std::string prefix;
        bool once = false;
    };

    void run(std::string const& host, std::string const& ip, int port, std::uint64_t number);
    route pick_route(std::uint64_t number);

    run_recorder& recorder_;
    std::string host_header_;
    std::mutex mutex_;
    std::vector<route> routes_;
    std::atomic<bool> stopping_{false};
    std::vector<std::thread> threads_;
};

} // namespace cove
