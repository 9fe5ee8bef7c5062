#pragma once
/** @file Limits the rate of log lines. */

#include "core/time_type.h"
#include "log/log_func.h"

namespace cove {

/** Writes a limited number of lines per second; the next line reports how many were dropped. */
class log_limiter {
public:
    /** Writes a line, or drops it if this second's limit is reached. */
    void event(std::string const& name, log_fields fields, mono_time now);

    /** @return number of lines dropped since the start. */
    [[nodiscard]] std::uint64_t dropped() const { return dropped_total_; }

private:
    /// Writing lines costs processor time, the most when the host is already short of it.
    static constexpr int lines_per_second = 20;

    mono_time second_started_{};
    int written_in_second_ = 0;
    std::uint64_t dropped_since_last_line_ = 0;
    std::uint64_t dropped_total_ = 0;
};

} // namespace cove
