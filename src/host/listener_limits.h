#pragma once
/** @file Limits of the addresses at which an entry host listens. */

#include "http/server.h"

#include <cstddef>
#include <cstdint>

namespace cove {

/** Bounds on the connections that are open at each address. */
struct connection_bounds {
    std::size_t clients = 1;
    std::size_t relays = 1;    ///< of other hosts
    std::size_t lookups = 1;   ///< at the address for look-ups
    std::size_t operators = 1; ///< at each of the addresses for readiness and metrics
};

/** @return the bounds of a process that may use @p descriptors. */
connection_bounds divide_descriptors(std::uint64_t descriptors);

/** @return @p configured, or, if that is 0, what the process limit leaves for connections. */
std::uint64_t usable_descriptors(int configured);

/** @return the limits at an address where requests have no body. */
server_limits bodiless_limits();

} // namespace cove
