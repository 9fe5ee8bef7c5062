#include "store/object_follower.h"

#include "core/backoff.h"

namespace cove {

namespace {

constexpr milliseconds least_backoff{200};
constexpr milliseconds most_backoff{5000};
constexpr milliseconds interrupt_interval{20}; ///< between attempts to end a waiting call

} // namespace

object_follower::object_follower(follower_options options, changed_handler changed,
                                 failed_handler failed)
    : options_(std::move(options)), changed_(std::move(changed)), failed_(std::move(failed)),
      client_(options_.store_address, options_.call_timeout)
{
}

void object_follower::start()
{
    thread_ = std::jthread([this](std::stop_token const& stop) { run(stop); });
}

object_follower::~object_follower()
{
    stop();
}

void object_follower::stop()
{
    thread_.request_stop();
    while (thread_.joinable() && !ended_) {
        client_.interrupt();
        std::this_thread::sleep_for(interrupt_interval);
    }
    if (thread_.joinable()) {
        thread_.join();
    }
}

void object_follower::set_watch(bool watch)
{
    std::lock_guard const lock(mutex_);
    watch_ = watch;
    role_changed_.notify_all();
}

bool object_follower::is_watching()
{
    std::lock_guard const lock(mutex_);
    return watch_;
}

store_result<std::optional<stored_object>> object_follower::call(bool watch)
{
    if (watch) {
        return client_.watch(options_.object, version_, options_.watch_wait);
    }
    auto found = client_.read(options_.object);
    if (found) {
        return std::optional(std::move(*found));
    }
    if (found.error().kind == store_failure::not_found) {
        return std::optional<stored_object>{};
    }
    return tl::make_unexpected(found.error());
}

void object_follower::wait_for_change(std::stop_token const& stop, milliseconds longest)
{
    std::unique_lock lock(mutex_);
    role_changed_.wait_for(lock, stop, longest, [this] { return watch_; });
}

void object_follower::run(std::stop_token const& stop)
{
    backoff waits(least_backoff, most_backoff, options_.seed);
    while (!stop.stop_requested()) {
        bool const watch = is_watching();
        auto const found = call(watch);
        if (!found) {
            if (!stop.stop_requested()) {
                failed_(found.error());
            }
            std::unique_lock lock(mutex_);
            role_changed_.wait_for(lock, stop, waits.failed(), [] { return false; });
            continue;
        }
        waits.succeeded();
        if (*found && (*found)->version > version_) {
            version_ = (*found)->version;
            changed_(**found);
        }
        if (!watch) {
            wait_for_change(stop, options_.poll_interval);
        }
    }
    ended_ = true;
}

} // namespace cove
