#pragma once
/** @file A small deployment: a store, servers, hosts and a watch on the memory of the hosts. */

#include "stand.h"

namespace stand {

/** What a deployment is made of. */
struct plan {
    json regions;                   ///< of each zone
    std::vector<std::string> zones; ///< of each host
    std::vector<route> routes;
    std::vector<std::string> services;
};

class deployment {
public:
    deployment(std::string const& record_path, plan what);
    ~deployment();
    deployment(deployment const&) = delete;
    deployment& operator=(deployment const&) = delete;
    deployment(deployment&&) = delete;
    deployment& operator=(deployment&&) = delete;

    /** Starts the store with the first configuration. */
    bool start_store();

    /** Adds a server that has a port of its own at a loopback address of its own. */
    bool add_server(std::string const& id, std::string const& service, std::string const& zone,
                    int slots, server::work_time work);

    /** Starts all hosts and waits until they are ready. */
    bool start_hosts();

    /** Waits until all hosts are ready. */
    [[nodiscard]] bool wait_ready(milliseconds time) const;

    /**
     * Does until finish() what the platform does: a process that takes more than the memory of its
     * machine is killed; a process that has ended is started again.
     */
    void watch_processes();

    /** Ends what runs, and logs how often processes have ended. */
    void finish();

    /** @return how often each process has ended by itself, for its memory or otherwise. */
    [[nodiscard]] std::vector<int> const& ends() const { return ends_; }

    [[nodiscard]] bool over() const { return over_; }
    record& log() { return log_; }
    store& platform() { return platform_; }
    std::vector<std::unique_ptr<host>>& hosts() { return hosts_; }
    std::vector<std::unique_ptr<server>>& servers() { return servers_; }
    [[nodiscard]] std::string const& folder() const { return folder_; }

private:
    void check(std::size_t at);

    record log_;
    plan plan_;
    std::string folder_;
    std::string store_address_;
    store platform_;
    std::vector<std::unique_ptr<server>> servers_;
    std::vector<std::unique_ptr<host>> hosts_;
    std::vector<int> ends_;
    std::vector<std::uint64_t> peaks_;
    std::atomic<bool> over_{false};
    std::thread watcher_;
};

/** @return the answer to one request on a connection of its own, if there is any. */
std::optional<message> ask(std::string const& ip, int port, std::string const& request,
                           milliseconds timeout);

/** Sends small requests to a host, one after the other, until the end. */
void send_small(deployment& all, std::size_t to, std::string const& prefix,
                std::atomic<int>& served);

} // namespace stand
