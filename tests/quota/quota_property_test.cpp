/** @file Guards against hosts that together admit more than the limit of a workspace. */

#include "quota/quota_fleet.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cove {
namespace {

std::vector<std::string> const names{"a1", "a2", "a3", "b1", "b2", "b3", "c1", "c2", "c3"};

/** Draws the next disturbance of a run. */
void disturb(quota_fleet& fleet)
{
    std::string const& name = names[random_below(fleet.random, names.size())];
    auto const host = fleet.hosts.find(name);
    switch (random_below(fleet.random, 8)) {
    case 0:
    case 1:
    case 2:
        for (auto& [each, other] : fleet.hosts) {
            std::array<double, 5> const rates{0, 0, 1, 10, 60};
            other->rate = rates.at(random_below(fleet.random, rates.size()));
        }
        break;
    case 3:
        fleet.cut = fleet.cut.empty()
                        ? std::set{random_below(fleet.random, 2) == 0 ? name : name.substr(0, 1)}
                        : std::set<std::string>{};
        break;
    case 4:
        if (host != fleet.hosts.end() && !host->second->paused) {
            host->second->paused = true;
        }
        else if (host != fleet.hosts.end()) {
            fleet.resume(name);
        }
        break;
    case 5:
        if (fleet.hosts.size() > 6) {
            fleet.kill(name);
        }
        break;
    case 6:
        fleet.add(name); // a restart, or a host that is added or replaced
        fleet.hosts.at(name)->rate = 20;
        break;
    default:
        fleet.set_limit({static_cast<double>(6 + random_below(fleet.random, 60)),
                         static_cast<double>(5 + random_below(fleet.random, 40))});
        break;
    }
}

RC_GTEST_PROP(quota_property, never_more_than_the_limit, ())
{
    auto const seed = *rc::gen::arbitrary<std::uint64_t>();
    quota_fleet fleet(seed, {60, 30});
    fleet.loss = 0.02 * static_cast<double>(seed % 3);
    for (std::string const& name : names) {
        fleet.add(name);
    }
    mono_time const end = fleet.now + seconds{400};
    mono_time next_disturbance = fleet.now + seconds{5};
    while (fleet.now < end) {
        if (fleet.now >= next_disturbance) {
            disturb(fleet);
            auto const spread = random_below(fleet.random, 4) == 0 ? 80'000U : 6'000U;
            next_disturbance = fleet.now + milliseconds(random_below(fleet.random, spread));
        }
        for (auto const& [name, host] : fleet.hosts) {
            if (random_below(fleet.random, 100) == 0 && !host->paused) {
                fleet.configure(name);
            }
        }
        fleet.step();
        RC_ASSERT(fleet.claims() <= fleet.highest_limit().rate * 1.0001);
        RC_ASSERT(fleet.window_share() <= 1);
    }
}

} // namespace
} // namespace cove
