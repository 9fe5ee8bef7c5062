#pragma once
/** @file Up to where a host knows what the platform's store holds. */

#include "core/ids_type.h"
#include "traffic/target_type.h"

#include <algorithm>

namespace cove {

/** The versions of a host's copies. */
struct known_versions {
    generation config;
    revision targets;
    revision evacuations;

    /** @return whether nothing in @p other is newer. */
    [[nodiscard]] bool covers(known_versions const& other) const
    {
        return config >= other.config && targets >= other.targets &&
               evacuations >= other.evacuations;
    }

    /** Takes over what is newer in @p other. */
    void raise_to(known_versions const& other)
    {
        config = std::max(config, other.config);
        targets = std::max(targets, other.targets);
        evacuations = std::max(evacuations, other.evacuations);
    }
};

} // namespace cove
