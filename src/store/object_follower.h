#pragma once
/** @file Follows one object of the platform's store from a thread of its own. */

#include "store/object_client.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <thread>

namespace cove {

/** What an object_follower needs to know. */
struct follower_options {
    std::string store_address;          ///< IP:port
    std::string object;                 ///< its name
    milliseconds call_timeout{2000};    ///< of a read
    milliseconds watch_wait{25'000};    ///< of one watch
    milliseconds poll_interval{60'000}; ///< between reads while not watching
    std::uint64_t seed = 0;             ///< of the spread of waits
};

/**
 * Hands on each new version of an object. While it watches, a change is seen at once; otherwise
 * the object is read now and then. A store that is slow or down holds up nobody else.
 */
class object_follower {
public:
    using changed_handler = std::function<void(stored_object const&)>;
    using failed_handler = std::function<void(store_error const&)>;

    /**
     * @param changed called from the follower's thread with each newer version.
     * @param failed called from the follower's thread after each failed call.
     */
    object_follower(follower_options options, changed_handler changed, failed_handler failed);
    ~object_follower();
    object_follower(object_follower const&) = delete;
    object_follower& operator=(object_follower const&) = delete;
    object_follower(object_follower&&) = delete;
    object_follower& operator=(object_follower&&) = delete;

    /** Starts to read. */
    void start();

    /** Ends a waiting call and the thread; no handler is called afterwards. */
    void stop();

    /** Chooses between waiting at the store and reading now and then. */
    void set_watch(bool watch);

private:
    void run(std::stop_token const& stop);
    store_result<std::optional<stored_object>> call(bool watch);
    void wait_for_change(std::stop_token const& stop, milliseconds longest);
    bool is_watching();

    follower_options options_;
    changed_handler changed_;
    failed_handler failed_;
    object_client client_;
    std::uint64_t version_ = 0; ///< newest that was handed on
    std::mutex mutex_;
    std::condition_variable_any role_changed_;
    bool watch_ = false;
    std::atomic<bool> ended_ = false;
    std::jthread thread_;
};

} // namespace cove
