#pragma once
/** @file An entry host process with a store and a target, for tests of abusive client loads. */

#include "deploy/child_process.h"
#include "process_soak/store_standin.h"

#include <filesystem>

namespace cove {

/** What the system reports of a process. */
struct process_usage {
    std::size_t peak_kb = 0; ///< VmHWM
    std::size_t resident_kb = 0;
    std::size_t descriptors = 0;
};

/** Limits of the entry host. */
struct crowd_limits {
    std::uint64_t body_bytes = 1 << 20; ///< of a request
    int memory_mb = 160;
    int max_descriptors = 400;
};

/** Addresses at which the host listens; the values are offsets of their ports. */
enum class listener { clients, readiness, directory, metrics, peers, relays };

/** Starts one entry host with one target; the destructor ends them. */
class crowd_host {
public:
    explicit crowd_host(crowd_limits limits);
    ~crowd_host();
    crowd_host(crowd_host const&) = delete;
    crowd_host& operator=(crowd_host const&) = delete;
    crowd_host(crowd_host&&) = delete;
    crowd_host& operator=(crowd_host&&) = delete;

    /** @return whether the host is ready for requests. */
    bool start();

    /** @return whether the process runs. */
    bool running() { return process_.running(); }

    /** @return the usage of the process; zeros if it has ended. */
    [[nodiscard]] process_usage usage() const;

    /** @return the status of a POST of @p body, 0 without a response. */
    [[nodiscard]] int post(std::string const& body, bool chunked) const;

    /** @return the status of a GET of @p path at @p where, 0 without a response. */
    [[nodiscard]] int get(listener where, std::string const& path) const;

    /** Sends SIGTERM. @return the exit status, or nothing if the process does not end by itself. */
    std::optional<int> stop();

    [[nodiscard]] int port(listener where) const { return first_port_ + static_cast<int>(where); }

    static constexpr char const* host_name = "desk.example";
    static constexpr std::size_t large_response_bytes = 3 << 20; ///< of `GET /a/large`
    /// Path of requests that must not run twice and on which the target works for seconds.
    static constexpr char const* slow_order_path = "/once/slow";

private:
    void start_target();
    void write_config();
    [[nodiscard]] std::string write_settings() const;

    crowd_limits limits_;
    int first_port_;
    std::filesystem::path folder_;
    store_standin store_;
    http_listener target_;
    child_process process_;
};

} // namespace cove
