#include "traffic/object_balance.h"

#include "core/hash_func.h"

#include <algorithm>
#include <cmath>

namespace cove {

namespace {

/// An object in use is announced again after this time, for hosts that have missed it.
constexpr seconds announce_interval{10};
/// An object that no host has announced for this long is not in use any more.
constexpr seconds retention{25};
constexpr seconds assign_interval{1}; ///< shorter intervals move objects more often
/// Bound of a target, relative to its share of the objects.
constexpr double bound_factor = 1.05;
/// With more objects for each target, plain hashing spreads them evenly enough.
constexpr std::size_t max_objects_per_target = 64;

/** @return how many of @p objects each target may get, in proportion to its slots. */
std::vector<int> bounds_of(std::vector<balance_target> const& targets, std::size_t objects)
{
    double slots = 0;
    for (balance_target const& target : targets) {
        slots += target.slots;
    }
    std::vector<int> out;
    for (balance_target const& target : targets) {
        double const share = static_cast<double>(objects) * target.slots / slots;
        out.push_back(static_cast<int>(std::ceil(bound_factor * share)));
    }
    return out;
}

/** Positions of targets in the list of all. */
struct target_choice {
    std::size_t first = 0;                ///< first in the rendezvous order of the object
    std::optional<std::size_t> with_room; ///< first of those that may get one more object
};

target_choice choose_target(std::uint32_t object, std::vector<balance_target> const& targets,
                            std::vector<int> const& room)
{
    target_choice out;
    std::uint64_t first_score = 0;
    std::uint64_t score_with_room = 0;
    for (std::size_t i = 0; i < targets.size(); ++i) {
        std::uint64_t const score = rendezvous_score(object, targets[i].id_hash);
        if (score >= first_score) {
            out.first = i;
            first_score = score;
        }
        if (room[i] > 0 && score >= score_with_room) {
            out.with_room = i;
            score_with_room = score;
        }
    }
    return out;
}

} // namespace

std::uint64_t rendezvous_score(std::uint32_t object, std::uint64_t target_id_hash)
{
    return stable_hash(object, target_id_hash);
}

void object_balance::use(std::uint32_t object, mono_time now)
{
    auto const [found, inserted] = objects_.try_emplace(object, now);
    if (!inserted && now - found->second < announce_interval) {
        return;
    }
    outdated_ = outdated_ || inserted;
    found->second = now;
    announced_.emplace_back(now, object);
}

void object_balance::merge(std::vector<std::uint32_t> const& objects, mono_time now)
{
    for (std::uint32_t const object : objects) {
        outdated_ = objects_.insert_or_assign(object, now).second || outdated_;
    }
}

std::vector<std::uint32_t> object_balance::announcements(milliseconds window, mono_time now) const
{
    std::vector<std::uint32_t> out;
    for (auto it = announced_.rbegin(); it != announced_.rend() && now - it->first <= window;
         ++it) {
        out.push_back(it->second);
    }
    return out;
}

bool object_balance::assignment_due(mono_time now) const
{
    bool const may_expire = now - assigned_at_ >= retention;
    return (outdated_ || may_expire) && now - assigned_at_ >= assign_interval;
}

void object_balance::expire(mono_time now)
{
    std::erase_if(objects_, [now](auto const& item) { return now - item.second > retention; });
    while (!announced_.empty() && now - announced_.front().first > announce_interval) {
        announced_.pop_front();
    }
}

void object_balance::assign(std::vector<balance_target> const& targets, mono_time now)
{
    outdated_ = false;
    assigned_at_ = now;
    expire(now);
    moved_.clear();
    if (objects_.empty() || objects_.size() > max_objects_per_target * targets.size()) {
        return;
    }
    std::vector<std::uint32_t> objects; // in the same order on all hosts
    for (auto const& [object, announced] : objects_) {
        objects.push_back(object);
    }
    std::sort(objects.begin(), objects.end());
    std::vector<int> room = bounds_of(targets, objects.size());
    for (std::uint32_t const object : objects) {
        target_choice const choice = choose_target(object, targets, room);
        if (!choice.with_room) {
            continue;
        }
        --room[*choice.with_room];
        if (*choice.with_room != choice.first) {
            moved_[object] = targets[*choice.with_room].id_hash;
        }
    }
}

std::optional<std::uint64_t> object_balance::moved_to(std::uint32_t object) const
{
    auto const found = moved_.find(object);
    return found == moved_.end() ? std::nullopt : std::optional(found->second);
}

} // namespace cove
