#pragma once
/** @file The deployment of Fundusz Solidarności Strajkowej: balances, registrations, payouts. */

#include "oplib/oplib.h"

namespace examples {

/** @return a deployment with three regions of two zones, two services and a payout on Friday. */
inline cove::ops::deployment_builder fundusz()
{
    using namespace std::chrono_literals;
    namespace ops = cove::ops;
    constexpr std::uint64_t link_bits_per_second = 300'000'000;
    auto const payout = ops::utc(2026, 12, 4, 8, 0);

    ops::deployment_builder out("fundusz");
    out.region("pomorze", {"pomorze-a", "pomorze-b"});
    out.region("slask", {"slask-a", "slask-b"});
    out.region("mazowsze", {"mazowsze-a", "mazowsze-b"});
    out.link_all_regions(link_bits_per_second, 55ms);
    out.shift({.cap = 0.1, .window = 10s, .answer_lifetime = 5s, .zone_reserve = 0.2});

    // about 30 targets in all
    out.service("ewidencja", 7, 400)
        .non_idempotent("registration", 0, 2s)
        .idempotent("balance-check", 1, 1s);
    // 12 targets in all
    out.service("kasa", 4, 400)
        .non_idempotent("card-block", 0, 2s)
        .non_idempotent("disbursement", 1, 3s);

    out.event("friday-payout", "kasa", {"disbursement", "card-block"}, payout, 2h, 0.5);
    out.event("friday-refreshes", "ewidencja", {"registration"}, payout - 10h, 14h, 0.3);
    out.move("before-payout", "ewidencja", "slask-a", "slask-b", payout - 12h, 0.3, 0.05, 30s);
    return out;
}

} // namespace examples
