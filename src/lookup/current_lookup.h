#pragma once
/** @file The newest prepared look-up, which many threads read without contending for a lock. */

#include "lookup/lookup_answer.h"

#include <atomic>
#include <memory>
#include <mutex>

namespace cove {

/** Holds the newest prepared look-up; a reader takes the lock only once after each change. */
class current_lookup {
public:
    using shared_lookup = std::shared_ptr<prepared_lookup const>;

    /** Replaces the look-up. */
    void set(shared_lookup next);

    /**
     * @return the newest look-up, or null before the first set(). The reference is to a copy of the
     * calling thread, which the thread's next call of get() may replace.
     */
    [[nodiscard]] shared_lookup const& get() const;

private:
    mutable std::mutex mutex_;
    shared_lookup newest_;
    std::atomic<std::uint64_t> version_{0};
};

} // namespace cove
