#include "lookup/current_lookup.h"

namespace cove {

namespace {

/** A thread's copy of the value of the current_lookup that it read last. */
struct thread_copy {
    current_lookup const* owner = nullptr;
    std::uint64_t version = 0;
    current_lookup::shared_lookup value;
};

} // namespace

void current_lookup::set(shared_lookup next)
{
    std::lock_guard const lock(mutex_);
    newest_ = std::move(next);
    version_.fetch_add(1, std::memory_order_release);
}

current_lookup::shared_lookup const& current_lookup::get() const
{
    thread_local thread_copy copy;
    std::uint64_t const version = version_.load(std::memory_order_acquire);
    if (copy.owner != this || copy.version != version) {
        std::lock_guard const lock(mutex_);
        copy = {this, version_.load(std::memory_order_relaxed), newest_};
    }
    return copy.value;
}

} // namespace cove
