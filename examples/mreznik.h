#pragma once
/** @file The deployment of Mrežnik Inšpekcije: logbooks, sign-offs, mending orders and alerts. */

#include "oplib/oplib.h"

namespace examples {

/** @return a deployment with three regions of two zones, two services and morning dives. */
inline cove::ops::deployment_builder mreznik()
{
    using namespace std::chrono_literals;
    namespace ops = cove::ops;
    constexpr std::uint64_t link_bits_per_second = 4'000'000'000;
    auto const first_dive = ops::utc(2026, 12, 5, 6, 30);

    ops::deployment_builder out("mreznik");
    out.region("istra", {"istra-east", "istra-west"});
    out.region("kvarner", {"kvarner-east", "kvarner-west"});
    out.region("dalmacija", {"dalmacija-east", "dalmacija-west"});
    out.link_all_regions(link_bits_per_second, 12ms);
    out.shift({.cap = 0.1, .window = 10s, .answer_lifetime = 5s, .zone_reserve = 0.1});

    // 20 targets in all
    out.service("logbook-desk", 6, 300).non_idempotent("sign-off", 0, 2s).idempotent("read", 1, 1s);
    // 12 targets in all
    out.service("mending-desk", 3, 300)
        .non_idempotent("anchor-alert", 0, 2s)
        .non_idempotent("mending-order", 1, 3s);

    out.event("morning-dives", "logbook-desk", {"sign-off", "read"}, first_dive, 3h, 0.3);
    out.move("before-works-in-istra", "logbook-desk", "istra-east", "istra-west",
             ops::utc(2026, 12, 4, 21, 0), 0.5, 0.05, 10s);
    return out;
}

} // namespace examples
