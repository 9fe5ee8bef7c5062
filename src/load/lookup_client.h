#pragma once
/** @file Client side of the look-up API, with a cache. */

#include "core/error.h"
#include "core/ids_type.h"
#include "core/time_type.h"

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace cove {

/** An entry host in a look-up answer. */
struct named_entry_host {
    std::string address; ///< IP:port for requests of callers
    incarnation_id incarnation;
    period_id period;
};

/** A look-up answer. */
struct lookup_answer {
    std::vector<named_entry_host> hosts; ///< in order of preference
    seconds lifetime{};                  ///< how long it may be cached
};

using shared_lookup_answer = std::shared_ptr<lookup_answer const>;

/** Parses the JSON @p text of an answer. @param source address given in error messages. */
result<lookup_answer> parse_lookup_answer(std::string_view text, std::string const& source);

/** Caches the look-up answer of a caller; an expired one stays in use while look-ups fail. */
class lookup_cache {
public:
    using lookup_function = std::function<result<lookup_answer>()>;

    /** @return the answer to use at @p now, or null. @param look_up called if none is valid. */
    shared_lookup_answer get(mono_time now, lookup_function const& look_up);

    /** Marks the answer as expired, so that the next get() calls its look-up function. */
    void expire();

private:
    std::mutex mutex_;
    shared_lookup_answer answer_;
    mono_time expires_{};
};

} // namespace cove
