#pragma once
/** @file The versions of the store's data that a host has. */

#include "core/ids_type.h"
#include "core/store_position_type.h"

#include <algorithm>

namespace cove {

/** The versions of a host's copies of the store's data. */
struct known_versions {
    generation config;
    store_position targets;
    store_position evacuations;

    /** @return whether nothing in @p other is newer. */
    [[nodiscard]] bool covers(known_versions const& other) const
    {
        return config >= other.config && targets >= other.targets &&
               evacuations >= other.evacuations;
    }

    /** Sets each version to the newer one of this and @p other. */
    void merge(known_versions const& other)
    {
        config = std::max(config, other.config);
        targets = std::max(targets, other.targets);
        evacuations = std::max(evacuations, other.evacuations);
    }
};

} // namespace cove
