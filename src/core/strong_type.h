#pragma once
/** @file Strong type definitions for identifiers and counters. */

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace cove {

/**
 * A value that cannot be mixed up with values of another tag.
 * @tparam Tag identifies the kind of value.
 * @tparam Rep underlying type.
 */
template <class Tag, class Rep>
struct strong_type {
    using rep = Rep;

    Rep value{};

    strong_type() = default;
    explicit strong_type(Rep v) : value(std::move(v)) {}

    auto operator<=>(strong_type const&) const = default;
    bool operator==(strong_type const&) const = default;
};

template <class Tag>
using strong_name = strong_type<Tag, std::string>;

template <class Tag>
using strong_number = strong_type<Tag, std::uint64_t>;

} // namespace cove

template <class Tag, class Rep>
struct std::hash<cove::strong_type<Tag, Rep>> {
    std::size_t operator()(cove::strong_type<Tag, Rep> const& id) const noexcept
    {
        return std::hash<Rep>{}(id.value);
    }
};
