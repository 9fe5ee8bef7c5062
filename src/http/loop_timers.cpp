#include "http/loop_timers.h"

namespace cove {

loop_timers::loop_timers(boost::asio::io_context& loop) : timer_(loop) {}

loop_timers::subscription loop_timers::every(microseconds interval, callback fn)
{
    subscription const id = next_id_++;
    add(read_clocks().mono + interval, {id, interval, std::move(fn)});
    return id;
}

loop_timers::subscription loop_timers::once(mono_time at, callback fn)
{
    subscription const id = next_id_++;
    add(at, {id, microseconds{0}, std::move(fn)});
    return id;
}

void loop_timers::cancel(subscription id)
{
    auto const found = due_times_.find(id);
    if (found == due_times_.end()) {
        return;
    }
    auto const [first, last] = queue_.equal_range(found->second);
    for (auto it = first; it != last; ++it) {
        if (it->second.id == id) {
            queue_.erase(it);
            break;
        }
    }
    due_times_.erase(found);
}

void loop_timers::add(mono_time at, entry timer)
{
    due_times_[timer.id] = at;
    queue_.emplace(at, std::move(timer));
    arm();
}

void loop_timers::arm()
{
    if (queue_.empty() || queue_.begin()->first >= armed_for_) {
        return;
    }
    armed_for_ = queue_.begin()->first;
    timer_.expires_at(armed_for_);
    timer_.async_wait([this](boost::system::error_code error) {
        if (!error) { // expires_at() cancels an earlier wait, which then ends with an error
            armed_for_ = mono_time::max();
            run_due();
        }
    });
}

void loop_timers::run_due()
{
    mono_time const now = read_clocks().mono;
    if (report_delay_ && !queue_.empty() && queue_.begin()->first <= now) {
        report_delay_(now - queue_.begin()->first); // the first one is the latest
    }
    while (!queue_.empty() && queue_.begin()->first <= now) {
        entry due = std::move(queue_.begin()->second);
        queue_.erase(queue_.begin());
        due_times_.erase(due.id);
        auto const fn = due.fn;
        if (due.interval > microseconds{0}) {
            mono_time const next = now + due.interval;
            add(next, std::move(due));
        }
        fn();
    }
    arm();
}

} // namespace cove
