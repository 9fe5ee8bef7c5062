#pragma once
/** @file Watches or polls one object of the platform's store on a dedicated thread. */

#include "store/object_client.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <thread>

namespace cove {

/** Options of an object_follower. */
struct follower_options {
    std::string store_address;          ///< IP:port
    std::string object;                 ///< name of the object
    milliseconds call_timeout{2000};    ///< timeout of a read
    milliseconds watch_wait{25'000};    ///< longest wait of one watch
    milliseconds poll_interval{60'000}; ///< time between reads in polling mode
    std::uint64_t seed = 0;             ///< of the jitter of the retry backoff
};

/**
 * Reports new versions of an object. In watching mode it long-polls the store and reports a change
 * at once; in polling mode it reads the object at a fixed interval. All calls to the store run on
 * the follower's own thread, so that a slow or unreachable store blocks no other thread.
 */
class object_follower {
public:
    using changed_handler = std::function<void(stored_object const&)>;
    using failed_handler = std::function<void(store_error const&)>;

    /**
     * @param changed called on the follower's thread with each newer version found.
     * @param failed called on the follower's thread after each failed call to the store.
     */
    object_follower(follower_options options, changed_handler changed, failed_handler failed);
    ~object_follower();
    object_follower(object_follower const&) = delete;
    object_follower& operator=(object_follower const&) = delete;
    object_follower(object_follower&&) = delete;
    object_follower& operator=(object_follower&&) = delete;

    /** Starts the thread, in polling mode unless set_watching() was called. */
    void start();

    /** Aborts a call in progress and joins the thread; no handler is called afterwards. */
    void stop();

    /** Selects watching (true) or polling mode (false). */
    void set_watching(bool watch);

private:
    void run(std::stop_token const& stop);
    store_result<std::optional<stored_object>> fetch(bool watch);
    void wait_before_poll(std::stop_token const& stop, milliseconds max_wait);
    bool is_watching();

    follower_options options_;
    changed_handler changed_;
    failed_handler failed_;
    object_client client_;
    std::uint64_t version_ = 0; ///< newest version that was reported
    std::mutex mutex_;
    std::condition_variable_any mode_changed_;
    bool watching_ = false;
    std::atomic<bool> thread_finished_ = false;
    std::jthread thread_;
};

} // namespace cove
