#include "emulator/emulated_target.h"

#include <algorithm>

namespace cove {

namespace {

constexpr double work_spread = 0.15; ///< standard deviation of service times, relative to the mean
constexpr double min_work = 0.3;     ///< shortest service time, relative to the mean

} // namespace

emulated_target::emulated_target(scheduler& scheduler, random_engine& random,
                                 emulated_target_limits limits, end_handler on_end)
    : scheduler_(scheduler), random_(random), limits_(limits), on_end_(std::move(on_end))
{
}

target_load emulated_target::load() const
{
    return {static_cast<int>(running_.size()), static_cast<int>(queue_.size()), limits_.slots};
}

void emulated_target::accept(emulated_work const& work)
{
    if (static_cast<int>(running_.size()) < limits_.slots) {
        start(work);
        return;
    }
    if (static_cast<int>(queue_.size()) < limits_.queue) {
        queue_.push_back(work);
        return;
    }
    ++refused_;
    on_end_(work.attempt, attempt_end::refused, load());
}

void emulated_target::start(emulated_work const& work)
{
    running_.insert(work.attempt.id);
    bool const warm = std::find(warm_.begin(), warm_.end(), work.object) != warm_.end();
    ++(warm ? warm_runs_ : cold_runs_);
    double const factor = std::max(min_work, std::normal_distribution(1.0, work_spread)(random_)) *
                          (warm ? work.warm_factor : 1);
    auto const time = microseconds(static_cast<std::int64_t>(
        factor * static_cast<double>(microseconds(work.cold_time).count())));
    scheduler_.after(time, [this, attempt = work.attempt, object = work.object] {
        if (running_.erase(attempt.id) == 0) {
            return; // cancelled
        }
        touch(object);
        start_queued();
        on_end_(attempt, attempt_end::succeeded, load());
    });
}

void emulated_target::start_queued()
{
    while (!queue_.empty() && static_cast<int>(running_.size()) < limits_.slots) {
        emulated_work const next = queue_.front();
        queue_.pop_front();
        if (next.deadline <= scheduler_.now()) {
            on_end_(next.attempt, attempt_end::refused, load());
        }
        else {
            start(next);
        }
    }
}

void emulated_target::touch(std::string const& object)
{
    warm_.remove(object);
    warm_.push_front(object);
    if (static_cast<int>(warm_.size()) > limits_.warm_objects) {
        warm_.pop_back();
    }
}

void emulated_target::cancel(send_id const& id)
{
    std::erase_if(queue_, [&id](emulated_work const& work) { return work.attempt.id == id; });
    if (running_.erase(id) > 0) {
        start_queued();
    }
}

} // namespace cove
