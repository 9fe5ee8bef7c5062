#include "traffic/target_list.h"

#include <algorithm>

namespace cove {

namespace {

constexpr milliseconds report_lag{500}; ///< delay between a report and its event at this host
/// Upper bound of the grace period as a share of `drain`, within which a removed target must be out
/// of use.
constexpr double max_drain_share = 0.8;

} // namespace

target_list::target_list(milliseconds heartbeat, milliseconds drain)
    : recovery_grace_(std::min(heartbeat + report_lag,
                               milliseconds(static_cast<std::int64_t>(
                                   max_drain_share * static_cast<double>(drain.count())))))
{
}

bool target_list::replace(std::vector<target_entry> const& entries, revision at, mono_time now)
{
    if (at < revision_) {
        return false;
    }
    std::map<target_id, target_entry> listed;
    for (target_entry const& entry : entries) {
        listed.emplace(entry.id, entry);
    }
    std::vector<target_id> vanished;
    for (auto const& [id, entry] : entries_) {
        if (!listed.contains(id)) {
            vanished.push_back(id);
        }
    }
    bool changed = !vanished.empty();
    for (target_id const& id : vanished) {
        remove(id, now);
    }
    for (auto const& [id, entry] : listed) {
        changed = put(entry) || changed;
    }
    revision_ = at;
    return changed;
}

bool target_list::put(target_entry const& entry)
{
    pending_removals_.erase(entry.id);
    auto const [found, inserted] = entries_.try_emplace(entry.id, entry);
    if (inserted) {
        return true;
    }
    bool const changed = found->second != entry;
    found->second = entry;
    return changed;
}

bool target_list::remove(target_id const& id, mono_time now)
{
    bool const recovering = store_recovered_at_ && now < *store_recovered_at_ + recovery_grace_;
    if (recovering && entries_.contains(id)) {
        pending_removals_.try_emplace(id, *store_recovered_at_ + recovery_grace_);
        return false;
    }
    pending_removals_.erase(id);
    return entries_.erase(id) > 0;
}

void target_list::advance(revision at)
{
    revision_ = std::max(revision_, at);
}

void target_list::store_recovered(mono_time now)
{
    store_recovered_at_ = now;
}

std::vector<target_id> target_list::expire(mono_time now)
{
    std::vector<target_id> out;
    for (auto it = pending_removals_.begin(); it != pending_removals_.end();) {
        if (it->second > now) {
            ++it;
            continue;
        }
        entries_.erase(it->first);
        out.push_back(it->first);
        it = pending_removals_.erase(it);
    }
    return out;
}

std::vector<target_entry> target_list::entries() const
{
    std::vector<target_entry> out;
    out.reserve(entries_.size());
    for (auto const& [id, entry] : entries_) {
        out.push_back(entry);
    }
    return out;
}

} // namespace cove
