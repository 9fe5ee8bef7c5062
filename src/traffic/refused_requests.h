#pragma once
/** @file Recognizes client retries of refused requests. */

#include "core/ids_type.h"
#include "core/time_type.h"
#include "traffic/target_type.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <tuple>

namespace cove {

/** What identifies a request across client retries; the attempt id changes with each retry. */
struct request_identity {
    std::string client;
    std::string route;
    object_key object;
    auto operator<=>(request_identity const&) const = default;
};

/** Records refusals until the deadlines of their clients have passed. */
class refused_requests {
public:
    /**
     * @param first_arrived when the first try of the client arrived.
     * @param until deadline of the client; the record expires then.
     */
    void add(request_identity const& request, mono_time first_arrived, mono_time until);

    /** Removes the record of an earlier refusal. @return when the first try arrived, if known. */
    std::optional<mono_time> take(request_identity const& request, mono_time now);

private:
    struct refusal_record {
        mono_time first_arrived;
        mono_time until;
    };
    void expire(mono_time now);

    std::multimap<request_identity, refusal_record> refused_;
    std::multimap<mono_time, request_identity> expiries_;
};

} // namespace cove
