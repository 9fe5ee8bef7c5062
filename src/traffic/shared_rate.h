#pragma once
/** @file Divides a rate that holds for all hosts together, and keeps to a part of it. */

#include "core/ids_type.h"
#include "core/time_type.h"

#include <cstdint>
#include <vector>

namespace cove {

/**
 * @param rate requests per second of all @p hosts together.
 * @param self one of @p hosts.
 * @param seed chooses the hosts that get a part if the rate is too small for all of them, the same
 * ones on every host.
 * @return the part of @p self. A part is at least one request per second, or else the whole rate:
 * parts of less would leave most of the rate unused, as few requests arrive when a part allows one.
 */
double rate_part(double rate, node_id const& self, std::vector<node_id> const& hosts,
                 std::uint64_t seed);

/** Spaces requests evenly at a rate that may change. */
class paced_rate {
public:
    /** @return whether a request may be sent now at @p rate requests per second. */
    [[nodiscard]] bool ready(double rate, mono_time now) const;

    /** Notes that a request is sent. */
    void sent(mono_time now) { last_sent_ = now; }

private:
    mono_time last_sent_{};
};

} // namespace cove
