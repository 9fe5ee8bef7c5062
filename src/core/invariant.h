#pragma once
/** @file Invariant checks that are active in every build. */

#include <stdexcept>
#include <string>

namespace cove {

/** Thrown when an invariant of the program's own state does not hold. */
struct invariant_violation : std::logic_error {
    using std::logic_error::logic_error;
};

/**
 * Checks an invariant of the program's own state.
 * @param holds whether the invariant holds.
 * @param name description of the invariant, shown when it does not hold.
 */
inline void require_invariant(bool holds, char const* name)
{
    if (!holds) {
        throw invariant_violation(std::string("invariant violated: ") + name);
    }
}

} // namespace cove
