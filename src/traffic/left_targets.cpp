#include "traffic/left_targets.h"

namespace cove {

namespace {

constexpr std::chrono::minutes retention{10}; ///< by then the target has ended

} // namespace

bool left_targets::note(target_id const& id, target_incarnation incarnation, mono_time now)
{
    std::erase_if(records_,
                  [now](auto const& item) { return now - item.second.noted > retention; });
    bool const known = contains(id, incarnation);
    records_[id] = {incarnation, now};
    return !known;
}

bool left_targets::contains(target_id const& id, target_incarnation incarnation) const
{
    auto const found = records_.find(id);
    return found != records_.end() && found->second.incarnation == incarnation;
}

} // namespace cove
