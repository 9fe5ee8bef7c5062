#pragma once
/** @file Polls the load and health of the targets that this entry host calls. */

#include "core/time_type.h"
#include "net/threaded_http_server.h"
#include "node/node_event.h"

#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace cove {

/** Polls each recently called target, on a dedicated thread. */
class target_poller {
public:
    /** @param report receives the report of each target; runs on this object's thread. */
    explicit target_poller(std::function<void(target_report)> report);

    /** Records a call, so that the target is polled. */
    void record_call(target_id const& target, std::string const& address, mono_time now);

private:
    struct polled_target {
        std::string address;
        mono_time last_call;
    };

    void run(std::stop_token const& stop);
    std::map<target_id, polled_target> recently_called();
    void poll_target(target_id const& target, std::string const& address);

    std::function<void(target_report)> report_;
    std::mutex mutex_;
    std::condition_variable_any stopping_;
    std::map<target_id, polled_target> targets_;
    std::map<std::string, std::unique_ptr<httplib::Client>> clients_; ///< by address
    std::jthread thread_;
};

} // namespace cove
