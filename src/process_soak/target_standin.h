#pragma once
/** @file A stand-in for a target of a service. */

#include "process_soak/http_listener.h"
#include "process_soak/run_recorder.h"
#include "process_soak/store_standin.h"
#include "traffic/target_type.h"

#include <atomic>

namespace cove {

/** What a target reports of itself. */
struct target_identity {
    std::string id;
    std::string service;
    std::string zone;
    std::string region;
    std::string address; ///< at which hosts reach it, IP:port
};

/** Runs requests in its slots, refuses what does not fit, and fails some after they ran. */
class target_standin {
public:
    /**
     * @param store and @p recorder must outlive this object.
     * @param threads that answer; each connection takes one.
     */
    target_standin(target_identity identity, store_standin& store, run_recorder& recorder,
                   std::size_t threads);

    /** Listens and reports to the store. @return whether it listens. */
    bool start(std::string const& ip, int port);

    /** Reports that it leaves; it goes on serving. */
    void leave();

    /** Removes its entry and closes its connections. */
    void stop();

    [[nodiscard]] target_identity const& identity() const { return identity_; }

private:
    mono_time report(target_phase phase);
    void serve(httplib::Request const& request, httplib::Response& response);
    void run(std::string const& attempt, httplib::Response& response);

    target_identity identity_;
    store_standin& store_;
    run_recorder& recorder_;
    std::int64_t born_ms_; ///< Unix time
    std::atomic<bool> leaving_{false};
    std::atomic<int> running_{0};
    http_listener listener_;
};

} // namespace cove
