#pragma once
/** @file Recognizes requests that come back after a refusal. */

#include "core/ids_type.h"
#include "core/time_type.h"
#include "traffic/target_type.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <tuple>

namespace cove {

/** What stays the same when a client repeats a request; its attempt id does not. */
struct repeated_request {
    std::string client;
    std::string route;
    object_key object;
    auto operator<=>(repeated_request const&) const = default;
};

/** Remembers refusals for as long as their clients may come back. */
class refused_requests {
public:
    /** @param began when the client's first try arrived. @param until when it gives up. */
    void add(repeated_request const& request, mono_time began, mono_time until);

    /** Takes the memory of an earlier refusal. @return when the first try arrived. */
    std::optional<mono_time> take(repeated_request const& request, mono_time now);

private:
    struct refusal_memory {
        mono_time began;
        mono_time until;
    };
    void expire(mono_time now);

    std::multimap<repeated_request, refusal_memory> refused_;
    std::multimap<mono_time, repeated_request> ends_;
};

} // namespace cove
