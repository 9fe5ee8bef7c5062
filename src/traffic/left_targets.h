#pragma once
/** @file Remembers which targets have said that they leave. */

#include "traffic/target_type.h"

#include <map>

namespace cove {

/** Targets that have said so, also after they have gone from the list and come back to it. */
class left_targets {
public:
    /** Notes one. @return whether it is new. */
    bool note(target_id const& id, target_incarnation incarnation, mono_time now);

    [[nodiscard]] bool contains(target_id const& id, target_incarnation incarnation) const;

private:
    struct record {
        target_incarnation incarnation;
        mono_time noted{};
    };
    std::map<target_id, record> records_;
};

} // namespace cove
