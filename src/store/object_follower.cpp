#include "store/object_follower.h"

#include "core/backoff.h"

namespace cove {

namespace {

constexpr milliseconds min_backoff{200};
constexpr milliseconds max_backoff{5000};
constexpr milliseconds interrupt_interval{20}; ///< between attempts to abort a call in progress

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
    while (thread_.joinable() && !thread_finished_) {
        client_.interrupt();
        std::this_thread::sleep_for(interrupt_interval);
    }
    if (thread_.joinable()) {
        thread_.join();
    }
}

void object_follower::set_watching(bool watch)
{
    std::lock_guard const lock(mutex_);
    watching_ = watch;
    mode_changed_.notify_all();
}

bool object_follower::is_watching()
{
    std::lock_guard const lock(mutex_);
    return watching_;
}

store_result<std::optional<stored_object>> object_follower::fetch(bool watch)
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

void object_follower::wait_before_poll(std::stop_token const& stop, milliseconds max_wait)
{
    std::unique_lock lock(mutex_);
    mode_changed_.wait_for(lock, stop, max_wait, [this] { return watching_; });
}

void object_follower::run(std::stop_token const& stop)
{
    backoff retry_backoff(min_backoff, max_backoff, options_.seed);
    while (!stop.stop_requested()) {
        bool const watch = is_watching();
        auto const found = fetch(watch);
        if (!found) {
            if (!stop.stop_requested()) {
                failed_(found.error());
            }
            std::unique_lock lock(mutex_);
            mode_changed_.wait_for(lock, stop, retry_backoff.next_delay(), [] { return false; });
            continue;
        }
        retry_backoff.reset();
        if (*found && (*found)->version > version_) {
            version_ = (*found)->version;
            changed_(**found);
        }
        if (!watch) {
            wait_before_poll(stop, options_.poll_interval);
        }
    }
    thread_finished_ = true;
}

} // namespace cove
