#include "steering/steering_policy.h"

#include <array>

namespace cove {

namespace {

constexpr std::uint64_t random_steps = 1U << 30U; ///< resolution of a random number in [0, 1)

double random_fraction(random_engine& random)
{
    return static_cast<double>(random_below(random, random_steps)) / random_steps;
}

bool has_room(service_load const& load)
{
    return load.slots > 0 && (load.queued == 0 || load.own + load.foreign < load.slots);
}

placement_preference place_by_grants(placement_input const& input, random_engine& random)
{
    if (input.own_load == nullptr || has_room(*input.own_load)) {
        return {};
    }
    placement_preference preference;
    preference.own_zone = input.own_load->slots > 0;
    if (random_fraction(random) < input.overflow) {
        preference.zones = *input.other_zones;
    }
    return preference;
}

placement_preference place_nearest(placement_input const& /*input*/, random_engine& /*random*/)
{
    return {};
}

placement_preference place_evenly(placement_input const& input, random_engine& random)
{
    placement_preference preference;
    auto const pick = random_below(random, input.other_zones->size() + 1);
    if (pick > 0) {
        preference.zones.push_back((*input.other_zones)[pick - 1]);
    }
    return preference;
}

placement_preference place_by_reported_load(placement_input const& input, random_engine& /*random*/)
{
    placement_preference preference;
    if (input.own_load != nullptr && !has_room(*input.own_load)) {
        preference.zones = *input.other_zones;
    }
    return preference;
}

struct policy_row {
    std::string_view name;
    placement_preference (*place)(placement_input const&, random_engine&);
    bool needs_grant;
    bool capped_failover;
};

constexpr std::array policy_table{
    policy_row{"grants", place_by_grants, true, true},
    policy_row{"nearest", place_nearest, true, true},
    policy_row{"equal-spread", place_evenly, false, true},
    policy_row{"reported-load", place_by_reported_load, false, true},
    policy_row{"uncapped", place_by_grants, true, false},
};

} // namespace

result<steering_policy> make_steering_policy(std::string_view name)
{
    for (policy_row const& row : policy_table) {
        if (row.name == name) {
            return steering_policy{row.place, row.needs_grant, row.capped_failover};
        }
    }
    return fail("settings.check", "/steering_policy",
                "unknown steering policy " + std::string(name));
}

} // namespace cove
