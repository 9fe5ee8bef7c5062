#include "process_soak/run_recorder.h"

#include <fstream>

namespace cove {

void run_recorder::begin(std::string const& place, std::string const& cause, bool planned)
{
    add(disturbance{place, cause, read_clocks().mono, std::nullopt, planned});
}

void run_recorder::end(std::string const& place, std::string const& cause)
{
    std::lock_guard const lock(mutex_);
    for (disturbance& each : record_.disturbances) {
        if (each.place == place && each.cause == cause && !each.end) {
            each.end = read_clocks().mono;
        }
    }
}

void run_recorder::moment(std::string const& place, std::string const& cause)
{
    mono_time const now = read_clocks().mono;
    add(disturbance{place, cause, now, now, false});
}

void run_recorder::lift_evacuation(std::string const& zone)
{
    std::lock_guard const lock(mutex_);
    for (zone_evacuation& each : record_.evacuations) {
        if (each.zone == zone && !each.lifted) {
            each.lifted = read_clocks().mono;
        }
    }
}

void run_recorder::log(std::string const& text)
{
    std::lock_guard const lock(mutex_);
    std::fprintf(journal_, "%7ld ms %s\n", since_start(read_clocks().mono), text.c_str());
    std::fflush(journal_);
}

long run_recorder::since_start(mono_time when) const
{
    return std::chrono::duration_cast<milliseconds>(when - start_).count();
}

void run_recorder::write_trace(std::string const& path)
{
    std::lock_guard const lock(mutex_);
    std::ofstream out(path);
    for (client_request const& each : record_.requests) {
        out << since_start(each.sent) << " request " << each.attempt << " " << each.host << " "
            << each.route << " status " << each.status << " signed " << each.signed_by_target
            << " ended " << since_start(each.ended) << "\n";
    }
    for (target_run const& each : record_.runs) {
        out << since_start(each.at) << " run " << each.attempt << " " << each.target << " "
            << each.service << " " << each.zone << "\n";
    }
}

run_record run_recorder::record()
{
    std::lock_guard const lock(mutex_);
    return record_;
}

} // namespace cove
