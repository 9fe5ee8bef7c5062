#include "follow/lag_watch.h"

namespace cove {

namespace {

constexpr milliseconds ask_interval{1000}; ///< an answer comes sooner or is lost

} // namespace

bool lag_watch::ask_now(known_versions const& own, known_versions const& best,
                        milliseconds patience, mono_time now)
{
    if (own.covers(best)) {
        missed_.reset();
        return false;
    }
    if (!missed_ || own.covers(*missed_)) {
        missed_ = best;
        since_ = now;
    }
    if (now - since_ < patience || now - asked_at_ < ask_interval) {
        return false;
    }
    asked_at_ = now;
    return true;
}

} // namespace cove
