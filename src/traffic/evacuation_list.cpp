#include "traffic/evacuation_list.h"

#include <algorithm>
#include <iterator>

namespace cove {

namespace {

/// What was written since the copy that the store came back from is written again by then.
constexpr milliseconds return_grace{2500};

} // namespace

bool evacuation_list::replace(std::set<zone_id> const& listed, store_position at, mono_time now)
{
    if (at < position_) {
        return false;
    }
    std::set<zone_id> const before = zones();
    if (position_.era != store_era{} && at.era > position_.era) {
        held_ = before;
        held_until_ = now + return_grace;
    }
    listed_ = listed;
    position_ = at;
    return zones() != before;
}

bool evacuation_list::change(std::vector<std::pair<zone_id, bool>> const& changes,
                             store_position at)
{
    if (at.era != position_.era || at <= position_) {
        return false;
    }
    for (auto const& [zone, begun] : changes) {
        held_.erase(zone);
        begun ? (void)listed_.insert(zone) : (void)listed_.erase(zone);
    }
    position_ = at;
    return true;
}

bool evacuation_list::expire(mono_time now)
{
    if (held_.empty() || now < held_until_) {
        return false;
    }
    std::set<zone_id> const before = zones();
    held_.clear();
    return zones() != before;
}

std::set<zone_id> evacuation_list::zones() const
{
    std::set<zone_id> out;
    std::set_union(listed_.begin(), listed_.end(), held_.begin(), held_.end(),
                   std::inserter(out, out.end()));
    return out;
}

} // namespace cove
