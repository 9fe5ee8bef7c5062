#include "keeper/keeper_index.h"

#include <algorithm>

namespace cove {

namespace {

constexpr milliseconds keeper_cache_lifetime{100}; ///< applies even if membership did not change

void rebuild_groups(keeper_index& index, node_view const& view)
{
    index.list_version = view.members.list_version;
    index.groups.clear();
    index.entries.clear();
    for (auto const& [id, target] : view.members.targets) {
        index.groups[{target.zone, target.service}].push_back(id);
    }
    for (auto& [group, targets] : index.groups) {
        std::ranges::sort(targets);
    }
}

std::vector<node_id> keeper_candidates(node_view const& view, zone_id const& zone)
{
    auto live = live_members(view.members, zone, view.now.mono);
    if (live.empty() && zone == view.self.zone) {
        live.push_back(view.self.id); // the last host of a zone stays keeper until it has stopped
    }
    return live;
}

} // namespace

bool accepts_work(node_view const& view, target_id const& target)
{
    auto const found = view.members.targets.find(target);
    return found != view.members.targets.end() &&
           (found->second.state == host_state::live || view.disabled.leaving_targets);
}

std::vector<target_with_keeper> const& keepers_of(keeper_index& index, node_view const& view,
                                                  target_group const& group)
{
    if (index.list_version != view.members.list_version) {
        rebuild_groups(index, view);
    }
    keeper_index::entry& entry = index.entries[group];
    if (entry.version == view.members.membership_version && view.now.mono < entry.expires_at) {
        return entry.targets;
    }
    entry.version = view.members.membership_version;
    entry.expires_at = view.now.mono + keeper_cache_lifetime;
    entry.targets.clear();
    std::unordered_map<node_id, int> counts;
    auto const candidates = keeper_candidates(view, group.zone);
    for (target_id const& target : index.groups[group]) {
        auto keeper = keeper_of(target, candidates);
        if (keeper && accepts_work(view, target)) {
            ++counts[*keeper];
            entry.targets.push_back({target, std::move(*keeper), 0});
        }
    }
    for (target_with_keeper& one : entry.targets) {
        one.keeper_target_count = counts.at(one.keeper);
    }
    return entry.targets;
}

} // namespace cove
