#include "host/listener_limits.h"

#include <algorithm>
#include <sys/resource.h>

namespace cove {

namespace {

constexpr std::uint64_t reserved_descriptors = 200; ///< for files and connections to other hosts
constexpr std::uint64_t relay_divisor = 4;          ///< descriptors per connection
constexpr std::uint64_t lookup_divisor = 16;        ///< descriptors per connection
constexpr std::uint64_t operator_divisor = 64;      ///< descriptors per connection
constexpr std::uint64_t min_connections = 8;        ///< at any address but that for clients

std::size_t part_of(std::uint64_t descriptors, std::uint64_t divisor)
{
    return std::max(min_connections, descriptors / divisor);
}

} // namespace

connection_bounds divide_descriptors(std::uint64_t descriptors)
{
    return {std::max<std::uint64_t>(1, descriptors / 4 * 3), part_of(descriptors, relay_divisor),
            part_of(descriptors, lookup_divisor), part_of(descriptors, operator_divisor)};
}

std::uint64_t usable_descriptors(int configured)
{
    if (configured != 0) {
        return static_cast<std::uint64_t>(configured);
    }
    rlimit limit{};
    ::getrlimit(RLIMIT_NOFILE, &limit);
    return limit.rlim_cur - std::min<std::uint64_t>(limit.rlim_cur, reserved_descriptors);
}

server_limits bodiless_limits()
{
    server_limits limits;
    limits.body_bytes = 0;
    return limits;
}

} // namespace cove
