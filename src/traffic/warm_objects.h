#pragma once
/** @file Which objects a target handled lately, as far as this host sent them. */

#include "core/ids_type.h"
#include "traffic/target_type.h"

#include <optional>
#include <unordered_map>

namespace cove {

/** How many requests back a target still is warm for an object; learned from answer times. */
class warm_window {
public:
    /** Learns from an exchange. @param age in requests. @param was_warm judged by its time. */
    void observe(std::uint64_t age, bool was_warm);

    /** @return the age below which an object counts as warm. */
    [[nodiscard]] std::uint64_t length() const { return static_cast<std::uint64_t>(length_); }

private:
    double length_ = 32; ///< requests; a start that the first answers correct
};

/** The objects of one target. */
class warm_objects {
public:
    /** Counts a request about @p object. */
    void touch(object_key const& object);

    /** @return how many requests ago @p object was last handled; nothing when it never was. */
    [[nodiscard]] std::optional<std::uint64_t> age(object_key const& object) const;

    /** Forgets all: the target has restarted. */
    void clear();

private:
    std::unordered_map<object_key, std::uint64_t> last_use_;
    std::uint64_t uses_ = 0;
};

} // namespace cove
