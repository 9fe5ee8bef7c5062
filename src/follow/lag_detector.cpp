#include "follow/lag_detector.h"

namespace cove {

void lag_detector::note(known_versions const& own, known_versions const& newest, mono_time now)
{
    bool const missing = !own.covers(newest);
    if (missing && (!missing_versions_ || own.covers(*missing_versions_))) {
        missing_versions_ = newest;
        missing_since_ = now;
    }
}

bool lag_detector::should_pull(known_versions const& own, known_versions const& newest,
                               milliseconds pull_delay, mono_time now)
{
    if (own.covers(newest)) {
        missing_versions_.reset();
        return false;
    }
    note(own, newest, now);
    // Targets change all the time; a configuration must not wait for the pulls that they cause.
    bool const wait = answer_may_come(now) && newest.config <= pulled_config_;
    if (now - missing_since_ < pull_delay || wait) {
        return false;
    }
    last_pull_ = now;
    pulled_config_ = newest.config;
    return true;
}

} // namespace cove
