#include "core/timer_service.h"

namespace cove {

timer_service::timer_service() : thread_([this](std::stop_token const& stop) { run(stop); }) {}

timer_service::~timer_service()
{
    thread_.request_stop();
    changed_.notify_all();
}

timer_service::subscription timer_service::every(microseconds interval, callback fn)
{
    return add(read_clocks().mono + interval, interval, std::move(fn));
}

timer_service::subscription timer_service::once(mono_time at, callback fn)
{
    return add(at, microseconds::zero(), std::move(fn));
}

timer_service::subscription timer_service::add(mono_time at, microseconds interval, callback fn)
{
    std::lock_guard const lock(mutex_);
    subscription const id = next_id_++;
    bool const first = queue_.empty() || at < queue_.begin()->first;
    queue_.emplace(at, entry{id, interval, std::move(fn)});
    if (first) {
        changed_.notify_all();
    }
    return id;
}

void timer_service::cancel(subscription id)
{
    std::lock_guard const lock(mutex_);
    std::erase_if(queue_, [id](auto const& item) { return item.second.id == id; });
}

void timer_service::run(std::stop_token const& stop)
{
    std::unique_lock lock(mutex_);
    while (!stop.stop_requested()) {
        if (queue_.empty()) {
            changed_.wait(lock, stop, [this] { return !queue_.empty(); });
            continue;
        }
        mono_time const due = queue_.begin()->first;
        if (read_clocks().mono < due) {
            changed_.wait_until(lock, stop, due, [this, due] {
                return queue_.empty() || queue_.begin()->first < due;
            });
            continue;
        }
        auto node = queue_.extract(queue_.begin());
        callback const fn = node.mapped().fn;
        if (node.mapped().interval > microseconds::zero()) {
            node.key() = read_clocks().mono + node.mapped().interval;
            queue_.insert(std::move(node));
        }
        lock.unlock();
        fn();
        lock.lock();
    }
}

} // namespace cove
