#include "traffic/target_list.h"

#include <algorithm>
#include <set>

namespace cove {

namespace {

constexpr milliseconds report_lag{500}; ///< delay between a report and its event at this host
/// Upper bound of the grace period as a share of `drain`, within which a removed target must be out
/// of use.
constexpr double max_drain_share = 0.8;
/// Targets have written entries that the store lost again within two seconds of its return.
constexpr milliseconds return_grace{2000};
/// The store removes the entry of a target that has not reported for so many intervals.
constexpr int missed_reports = 3;
/// The store comes back from a copy that is some seconds old; older removals are in it.
constexpr seconds max_copy_age{60};

} // namespace

target_list::target_list(milliseconds heartbeat, milliseconds drain)
    : recovery_grace_(std::min(heartbeat + report_lag,
                               milliseconds(static_cast<std::int64_t>(
                                   max_drain_share * static_cast<double>(drain.count()))))),
      report_deadline_(heartbeat * missed_reports + report_lag)
{
}

/** @return what to use in place of an entry of an older copy of the store. */
target_entry target_list::reconcile(target_entry const& listed) const
{
    target_entry out = listed;
    auto const known = entries_.find(listed.id);
    if (known != entries_.end()) {
        if (known->second.incarnation > listed.incarnation) {
            return known->second;
        }
        if (known->second.incarnation == listed.incarnation &&
            known->second.phase == target_phase::leaving) {
            out.phase = target_phase::leaving;
        }
    }
    auto const removed = removed_.find(listed.id);
    if (removed != removed_.end() && removed->second.incarnation >= listed.incarnation) {
        out.phase = target_phase::leaving;
    }
    return out;
}

bool target_list::replace(std::vector<target_entry> const& entries, store_position at,
                          mono_time now)
{
    if (at < position_) {
        return false;
    }
    bool const went_back = position_.era != store_era{} && at.era > position_.era;
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
        if (went_back) {
            pending_removals_.try_emplace(id, now + return_grace + report_lag);
        }
        else if (!pending_removals_.contains(id)) {
            remove(id, now);
        }
    }
    for (auto const& [id, entry] : listed) {
        auto const doubted = doubted_.find(id);
        if (doubted != doubted_.end() && doubted->second.listed == entry) {
            pending_removals_.erase(id);
            continue; // nothing new
        }
        target_entry const used = went_back ? reconcile(entry) : entry;
        changed = put(used) || changed;
        if (used != entry) {
            doubted_[id] = {entry, now + report_deadline_};
        }
    }
    position_ = at;
    return changed;
}

targets_changed target_list::apply(std::vector<target_change> const& changes, mono_time now)
{
    auto const current = [this](target_id const& id) {
        auto const found = entries_.find(id);
        return found == entries_.end() ? std::optional<target_entry>{} : found->second;
    };
    std::map<target_id, std::optional<target_entry>> before;
    std::set<target_id> ended;
    for (target_change const& change : changes) {
        before.try_emplace(change.id, current(change.id));
        if (change.entry) {
            put(*change.entry);
        }
        else if (remove(change.id, now)) {
            ended.insert(change.id);
        }
    }
    targets_changed out;
    for (auto const& [id, old] : before) {
        auto const last = current(id);
        if (last == old) {
            continue;
        }
        if (old && ended.contains(id)) {
            out.removed.push_back(id);
        }
        if (last) {
            out.updated.push_back(*last);
        }
    }
    return out;
}

bool target_list::put(target_entry const& entry)
{
    pending_removals_.erase(entry.id);
    doubted_.erase(entry.id);
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
    if (!entries_.contains(id)) {
        return false;
    }
    if (recovering) {
        mono_time const due = *store_recovered_at_ + recovery_grace_;
        mono_time& held_until = pending_removals_.try_emplace(id, due).first->second;
        held_until = std::min(held_until, due);
        return false;
    }
    erase(id, now);
    return true;
}

void target_list::erase(target_id const& id, mono_time now)
{
    removed_[id] = {entries_.at(id).incarnation, now};
    entries_.erase(id);
    pending_removals_.erase(id);
    doubted_.erase(id);
}

void target_list::hold(held_target const& target, mono_time now)
{
    if (entries_.contains(target.id)) {
        pending_removals_[target.id] = now + target.left;
    }
}

void target_list::advance(store_position at)
{
    position_ = std::max(position_, at);
}

void target_list::store_recovered(mono_time now)
{
    store_recovered_at_ = now;
}

targets_changed target_list::expire(mono_time now)
{
    targets_changed out;
    for (auto const& [id, due] : pending_removals_) {
        if (due <= now) {
            out.removed.push_back(id);
        }
    }
    for (target_id const& id : out.removed) {
        erase(id, now);
    }
    for (auto const& [id, doubted] : doubted_) {
        if (doubted.until <= now) {
            out.updated.push_back(doubted.listed);
        }
    }
    for (target_entry const& entry : out.updated) {
        put(entry);
    }
    std::erase_if(removed_,
                  [now](auto const& item) { return now - item.second.removed_at >= max_copy_age; });
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

std::vector<target_entry> target_list::listed_entries() const
{
    std::vector<target_entry> out = entries();
    for (target_entry& entry : out) {
        auto const doubted = doubted_.find(entry.id);
        if (doubted != doubted_.end()) {
            entry = doubted->second.listed;
        }
    }
    return out;
}

std::vector<held_target> target_list::held(mono_time now) const
{
    std::vector<held_target> out;
    for (auto const& [id, due] : pending_removals_) {
        auto const left = std::chrono::duration_cast<milliseconds>(due - now);
        out.push_back({id, std::max(left, milliseconds{0})});
    }
    return out;
}

} // namespace cove
