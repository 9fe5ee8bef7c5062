#pragma once
/** @file Seeded random numbers for a soak run. */

#include "core/random.h"
#include "core/time_type.h"

#include <vector>

namespace cove {

/** Draws all random choices of a run from one engine, so that a seed reproduces the run. */
class random_source {
public:
    explicit random_source(std::uint64_t seed) : engine_(seed) {}

    /** @return a number in [0, @p limit). */
    std::uint64_t below(std::uint64_t limit) { return random_below(engine_, limit); }

    /** @return true with a probability of 1 / @p count. */
    bool one_in(std::uint64_t count) { return below(count) == 0; }

    /** @return true with a probability of @p permille thousandths. */
    bool permille(std::uint64_t permille) { return below(1000) < permille; }

    /** @return a time in [@p low, @p high). */
    microseconds between(microseconds low, microseconds high)
    {
        return low + microseconds(below(static_cast<std::uint64_t>((high - low).count())));
    }

    /** @return one of @p items, which must not be empty. */
    template <class Item>
    Item const& pick(std::vector<Item> const& items)
    {
        return items[below(items.size())];
    }

    /** @return 64 random bits, for example for an id. */
    std::uint64_t number() { return engine_(); }

private:
    random_engine engine_;
};

} // namespace cove
