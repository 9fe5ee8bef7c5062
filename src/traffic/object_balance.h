#pragma once
/** @file Spreads the objects of a service evenly over its targets in a zone. */

#include "core/time_type.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cove {

/** A target that can be given objects. */
struct balance_target {
    std::uint64_t id_hash = 0;
    int slots = 1;
};

/**
 * Consistent hashing with bounded loads. A target keeps a limited number of objects warm, but plain
 * rendezvous hashing gives some targets twice as many as others; these then forget objects while
 * others have room. The hosts of a zone tell each other which objects are in use. From the same
 * objects and targets, each host derives the same assignment: an object goes to the first target of
 * its rendezvous order that has not reached its bound.
 */
class object_balance {
public:
    /** Notes that this host handles @p object, a short hash of its key. */
    void use(std::uint32_t object, mono_time now);

    /** Notes objects that another host of the zone has announced. */
    void merge(std::vector<std::uint32_t> const& objects, mono_time now);

    /**
     * @return objects that this host has to announce to the others: those that it noted first
     * within @p window.
     */
    [[nodiscard]] std::vector<std::uint32_t> announcements(milliseconds window,
                                                           mono_time now) const;

    /** Tells that the targets have changed. */
    void targets_changed() { outdated_ = true; }

    /** @return whether assign() is due. */
    [[nodiscard]] bool assignment_due(mono_time now) const;

    /** Makes the assignment to @p targets anew. */
    void assign(std::vector<balance_target> const& targets, mono_time now);

    /** @return the id hash of the target of @p object, if that is not the first of its order. */
    [[nodiscard]] std::optional<std::uint64_t> moved_to(std::uint32_t object) const;

private:
    void expire(mono_time now);

    std::unordered_map<std::uint32_t, mono_time> objects_;      ///< when last announced
    std::deque<std::pair<mono_time, std::uint32_t>> announced_; ///< by this host
    std::unordered_map<std::uint32_t, std::uint64_t> moved_;
    bool outdated_ = false;
    mono_time assigned_at_{};
};

/** @return the score of a target in the rendezvous order of an object; the highest is first. */
std::uint64_t rendezvous_score(std::uint32_t object, std::uint64_t target_id_hash);

} // namespace cove
