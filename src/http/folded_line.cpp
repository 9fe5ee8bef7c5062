#include "http/folded_line.h"

namespace cove {

bool folded_line_finder::take(std::string_view bytes)
{
    for (char const byte : bytes) {
        if (header_ended_) {
            return false;
        }
        if (byte == '\n') {
            header_ended_ = line_bytes_ == 0;
            line_bytes_ = 0;
            continue;
        }
        if (line_bytes_ == 0 && (byte == ' ' || byte == '\t')) {
            return true;
        }
        line_bytes_ += byte == '\r' ? 0 : 1;
    }
    return false;
}

} // namespace cove
