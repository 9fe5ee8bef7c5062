#include "soak/fake_network.h"

#include <algorithm>

namespace cove {

namespace {

// The delay of a message is between the base delay of its route and 1.5 times as much.
constexpr microseconds zone_delay{200};                ///< base, one way inside a zone
constexpr microseconds region_delay{3'000};            ///< base, one way between zones of a region
constexpr microseconds inter_region_delay{12'000};     ///< base, one way between regions
constexpr microseconds max_straggler_delay{1'500'000}; ///< longest extra delay of a straggler

} // namespace

fake_network::fake_network(scheduler& time, random_source& random, fleet& nodes,
                           std::function<region_id(zone_id const&)> region_of)
    : time_(time), random_(random), nodes_(nodes), region_of_(std::move(region_of))
{
}

void fake_network::cut_pair(std::size_t one, std::size_t other)
{
    pair_cuts_.clear(); // only one pair at a time, so that no host is cut off from all others
    pair_cuts_.insert({one, other});
    pair_cuts_.insert({other, one});
}

void fake_network::heal()
{
    cuts_.clear();
    pair_cuts_.clear();
}

microseconds fake_network::delay(zone_id const& from, zone_id const& to)
{
    microseconds base = inter_region_delay;
    if (from == to) {
        base = zone_delay;
    }
    else if (region_of_(from) == region_of_(to)) {
        base = region_delay;
    }
    microseconds total = random_.between(base, base * 3 / 2);
    if (random_.permille(quality_.straggler_permille)) {
        total += random_.between(base, max_straggler_delay);
    }
    return total;
}

void fake_network::send(std::size_t host, send_peer const& message)
{
    auto const& hosts = nodes_.hosts();
    auto const found = std::ranges::find_if(hosts, [&](fleet_host const& other) {
        return other.node && other.host_entry.peer_address == message.address;
    });
    fleet_host const& sender = hosts[host];
    if (found == hosts.end() || cuts_.contains({sender.host_entry.zone, found->host_entry.zone}) ||
        random_.permille(quality_.loss_permille)) {
        return;
    }
    auto const to = static_cast<std::size_t>(found - hosts.begin());
    if (pair_cuts_.contains({host, to})) {
        return;
    }
    peer_envelope const envelope{sender.host_entry.id, sender.node->self.incarnation, message.body};
    int const copies = random_.permille(quality_.duplicate_permille) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        time_.after(delay(sender.host_entry.zone, found->host_entry.zone), [this, to, envelope] {
            nodes_.deliver(to, nodes_.hosts()[to].process_epoch, envelope);
        });
    }
}

} // namespace cove
