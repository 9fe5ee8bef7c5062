#include "peer/pull_choice.h"

#include <algorithm>

namespace cove {

known_versions only(pull_kind kind, known_versions const& versions)
{
    if (kind == pull_kind::targets) {
        return {{}, versions.targets, {}};
    }
    return {versions.config, {}, versions.evacuations};
}

std::optional<pull_source> choose_pull_source(std::vector<pull_source> sources,
                                              known_versions const& own, random_engine& random)
{
    std::erase_if(sources,
                  [&own](pull_source const& source) { return own.covers(source.changes); });
    auto const is_local = [](pull_source const& source) { return !source.in_other_zone; };
    if (std::any_of(sources.begin(), sources.end(), is_local)) {
        std::erase_if(sources, [](pull_source const& source) { return source.in_other_zone; });
    }
    known_versions newest = own;
    for (pull_source const& source : sources) {
        newest.merge(source.changes);
    }
    auto const is_newest = [&](pull_source const& source) {
        known_versions had = own;
        had.merge(source.changes);
        return had.covers(newest);
    };
    if (std::any_of(sources.begin(), sources.end(), is_newest)) {
        std::erase_if(sources, [&](pull_source const& source) { return !is_newest(source); });
    }
    auto const may_lack = [](pull_source const& source) { return source.may_lack_them; };
    if (!std::all_of(sources.begin(), sources.end(), may_lack)) {
        std::erase_if(sources, may_lack);
    }
    if (sources.empty()) {
        return std::nullopt;
    }
    return sources[random_below(random, sources.size())];
}

} // namespace cove
