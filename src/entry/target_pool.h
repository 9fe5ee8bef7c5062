#pragma once
/** @file Pool of persistent HTTP connections to targets. */

#include "node/node_effect.h"

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace cove {

/** Calls targets over keep-alive connections, each with its own thread. */
class target_pool {
public:
    /** @param done receives the result of each call; runs on the pool's threads. */
    explicit target_pool(std::function<void(call_result)> done);
    ~target_pool();
    target_pool(target_pool const&) = delete;
    target_pool& operator=(target_pool const&) = delete;
    target_pool(target_pool&&) = delete;
    target_pool& operator=(target_pool&&) = delete;

    /** Starts a call. Its result is always reported, also after cancel(). */
    void start(call_target call);

    /** Aborts a call in progress by closing its connection. */
    void cancel(call_key key);

private:
    class pooled_connection;

    pooled_connection& acquire_connection(std::string const& address);

    std::function<void(call_result)> done_;
    std::mutex mutex_;
    std::unordered_map<std::string, std::vector<pooled_connection*>> idle_;
    std::unordered_map<call_key, pooled_connection*> busy_;
    std::vector<std::unique_ptr<pooled_connection>> connections_;
};

} // namespace cove
