#include "traffic/shared_rate.h"

#include "core/hash_func.h"

#include <algorithm>
#include <cmath>

namespace cove {

double rate_part(double rate, node_id const& self, std::vector<node_id> const& hosts,
                 std::uint64_t seed)
{
    auto const count = static_cast<double>(std::max<std::size_t>(1, hosts.size()));
    double const parts = std::clamp(std::floor(rate), 1.0, count);
    auto const position = [seed](node_id const& host) {
        return std::pair(stable_hash(host.value, seed), host);
    };
    auto const before = std::count_if(hosts.begin(), hosts.end(), [&](node_id const& host) {
        return position(host) < position(self);
    });
    return static_cast<double>(before) < parts ? rate / parts : 0;
}

bool paced_rate::ready(double rate, mono_time now) const
{
    return std::chrono::duration<double>(now - last_sent_).count() * rate >= 1;
}

} // namespace cove
