#pragma once
/** @file Choice of the host from which missing data of the store is pulled. */

#include "core/random.h"
#include "follow/known_versions_type.h"

#include <optional>
#include <string>
#include <vector>

namespace cove {

/** A host from which the store's data can be pulled. */
struct pull_source {
    std::string ip;
    known_versions changes; ///< positions at which its copies last changed
    bool in_other_zone = false;
    bool may_lack_them = false; ///< `changes` are those of its zone
};

/** Data that is pulled together. The list of targets is large; what decides on routes never waits
 * for it. */
enum class pull_kind { decisions, targets };

/** @return the versions in @p versions that belong to @p kind; the others are zero. */
known_versions only(pull_kind kind, known_versions const& versions);

/**
 * @return one of @p sources that has newer data than @p own, of the own zone if there is one. It is
 * drawn among those with the newest data, so that they share the pulls of a zone; those that may
 * lack it are chosen last.
 */
std::optional<pull_source> choose_pull_source(std::vector<pull_source> sources,
                                              known_versions const& own, random_engine& random);

} // namespace cove
