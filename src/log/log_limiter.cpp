#include "log/log_limiter.h"

namespace cove {

void log_limiter::event(std::string const& name, log_fields fields, mono_time now)
{
    if (now - second_started_ >= seconds{1}) {
        second_started_ = now;
        written_in_second_ = 0;
    }
    if (written_in_second_ >= lines_per_second) {
        ++dropped_since_last_line_;
        ++dropped_total_;
        return;
    }
    ++written_in_second_;
    if (dropped_since_last_line_ > 0) {
        fields.emplace_back("left_out", std::to_string(dropped_since_last_line_));
        dropped_since_last_line_ = 0;
    }
    log_event(name, fields);
}

} // namespace cove
