#include "follow/lag_detector.h"

namespace cove {

namespace {

constexpr milliseconds min_pull_interval{1000}; ///< a response that takes longer is lost

} // namespace

bool lag_detector::should_pull(known_versions const& own, known_versions const& newest,
                               milliseconds pull_delay, mono_time now)
{
    if (own.covers(newest)) {
        missing_versions_.reset();
        return false;
    }
    if (!missing_versions_ || own.covers(*missing_versions_)) {
        missing_versions_ = newest;
        missing_since_ = now;
    }
    if (now - missing_since_ < pull_delay || now - last_pull_ < min_pull_interval) {
        return false;
    }
    last_pull_ = now;
    return true;
}

} // namespace cove
