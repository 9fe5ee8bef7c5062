#include "peer/change_log.h"

#include <algorithm>

namespace cove {

namespace {

/// An encoded change takes about 100 bytes; a list of more changes is hardly smaller than the
/// whole.
constexpr std::size_t max_kept_changes = 256;

} // namespace

void change_log::restart(store_position changed)
{
    kept_.clear();
    kept_changes_ = 0;
    complete_from_ = changed;
    changed_at_ = changed;
}

void change_log::add(target_changes const& changes)
{
    if (changes.changes.empty()) {
        return;
    }
    changed_at_ = changes.to;
    kept_.push_back(changes);
    kept_changes_ += changes.changes.size();
    while (kept_changes_ > max_kept_changes) {
        complete_from_ = kept_.front().to;
        kept_changes_ -= kept_.front().changes.size();
        kept_.pop_front();
    }
}

std::optional<target_changes> change_log::since(store_position from, store_position to) const
{
    if (from.era != to.era || from < complete_from_) {
        return std::nullopt;
    }
    target_changes out{from, to, {}};
    for (target_changes const& each : kept_) {
        if (each.to > from) {
            out.changes.insert(out.changes.end(), each.changes.begin(), each.changes.end());
        }
    }
    return out;
}

} // namespace cove
