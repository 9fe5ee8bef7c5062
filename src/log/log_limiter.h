#pragma once
/** @file Bounds how many log lines a busy host writes. */

#include "core/time_type.h"
#include "log/log_func.h"

namespace cove {

/** Writes lines up to a rate; what is left out is counted and told with the next line. */
class log_limiter {
public:
    /** Writes a line if the rate allows it. */
    void event(std::string const& name, log_fields fields, mono_time now);

    /** @return how many lines were left out since the start. */
    [[nodiscard]] std::uint64_t left_out() const { return left_out_in_all_; }

private:
    static constexpr int lines_per_second =
        20; ///< lines cost processor time, most when it is short

    mono_time second_began_{};
    int written_ = 0;
    std::uint64_t left_out_ = 0; ///< since the last line
    std::uint64_t left_out_in_all_ = 0;
};

} // namespace cove
