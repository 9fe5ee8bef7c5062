#pragma once
/**
 * @file Random numbers from an engine that the caller passes in. It is the only source of
 * randomness inside reducers, so their results are deterministic for a given seed.
 */

#include <cstdint>
#include <random>
#include <utility>
#include <vector>

namespace cove {

using random_engine = std::mt19937_64;

/** @return a random number in [0, @p limit); zero if @p limit is zero. */
inline std::uint64_t random_below(random_engine& engine, std::uint64_t limit)
{
    return limit == 0 ? 0 : engine() % limit;
}

/** Puts @p items into random order. */
template <class Item>
void shuffle(std::vector<Item>& items, random_engine& engine)
{
    for (std::size_t left = items.size(); left > 1; --left) {
        std::swap(items[left - 1], items[random_below(engine, left)]);
    }
}

} // namespace cove
