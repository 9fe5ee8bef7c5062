#include "metrics/loop_monitor.h"

#include <sstream>

namespace cove {

void loop_monitor::add_work(std::string const& kind, microseconds time)
{
    work_total& total = work_[kind];
    ++total.count;
    total.time += time;
    if (time > longest_.time) {
        longest_ = {kind, time};
    }
}

std::string loop_monitor::prometheus() const
{
    std::ostringstream out;
    out << "# TYPE cove_loop_delay_seconds histogram\n"
        << delays_.prometheus("cove_loop_delay_seconds", "")
        << "# TYPE cove_request_unread_seconds histogram\n"
        << unread_.prometheus("cove_request_unread_seconds", "")
        << "# TYPE cove_loop_work_seconds summary\n";
    for (auto const& [kind, total] : work_) {
        std::string const labels = "{kind=\"" + kind + "\"} ";
        out << "cove_loop_work_seconds_sum" << labels
            << std::chrono::duration<double>(total.time).count() << "\n"
            << "cove_loop_work_seconds_count" << labels << total.count << "\n";
    }
    return out.str();
}

} // namespace cove
