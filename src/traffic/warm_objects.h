#pragma once
/** @file Tracks which objects this host recently sent to a target. */

#include "core/ids_type.h"
#include "traffic/target_type.h"

#include <optional>
#include <unordered_map>

namespace cove {

/** Estimates from answer times for how many requests a target stays warm for an object. */
class warm_window {
public:
    /**
     * Updates the estimate after an answer.
     * @param age requests that this host sent to the target since it last sent the object there.
     * @param was_warm whether the answer was as fast as that of a warm target.
     */
    void observe(std::uint64_t age, bool was_warm);

    /** @return the age below which an object counts as warm. */
    [[nodiscard]] std::uint64_t length() const { return static_cast<std::uint64_t>(length_); }

private:
    double length_ = 32; ///< in requests; initial estimate, corrected by the first answers
};

/** The objects that this host sent to one target. */
class warm_objects {
public:
    /** Records a request about @p object. */
    void touch(object_key const& object);

    /** @return how many requests ago @p object was last sent; nullopt if never. */
    [[nodiscard]] std::optional<std::uint64_t> age(object_key const& object) const;

    /** Drops all records, for example after the target has restarted. */
    void clear();

private:
    std::unordered_map<object_key, std::uint64_t> last_use_;
    std::uint64_t uses_ = 0;
};

} // namespace cove
