#include "log/log_limiter.h"

namespace cove {

void log_limiter::event(std::string const& name, log_fields fields, mono_time now)
{
    if (now - second_began_ >= seconds{1}) {
        second_began_ = now;
        written_ = 0;
    }
    if (written_ >= lines_per_second) {
        ++left_out_;
        ++left_out_in_all_;
        return;
    }
    ++written_;
    if (left_out_ > 0) {
        fields.emplace_back("left_out", std::to_string(left_out_));
        left_out_ = 0;
    }
    log_event(name, fields);
}

} // namespace cove
