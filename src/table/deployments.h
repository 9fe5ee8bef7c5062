#pragma once
/** @file The two sample deployments, which cove-demo and cove-chaos start on one machine. */

#include <array>
#include <chrono>
#include <string_view>

namespace cove {

/** A request class of a sample service. */
struct sample_class {
    std::string_view id;
    bool idempotent;
    int priority;
    std::chrono::milliseconds deadline;
    double share; ///< share of the service's requests
};

/** A service of a sample deployment. */
struct sample_service {
    std::string_view id;
    int targets;
    int slots;
    int connections;
    double share; ///< share of all requests
    std::array<sample_class, 2> classes;
};

/** A sample deployment; each region has two availability zones. */
struct sample_deployment {
    std::string_view name;
    std::array<std::string_view, 3> regions;
    std::array<sample_service, 2> services;
};

inline constexpr std::array<std::string_view, 2> sample_zone_names{"east", "west"};

using namespace std::chrono_literals;

inline constexpr std::array<sample_deployment, 2> sample_deployments{{
    {"mreznik",
     {"istra", "kvarner", "dalmacija"},
     {{{"logbook-desk",
        20,
        6,
        300,
        0.7,
        {{{"logbook", true, 2, 2000ms, 0.8}, {"sign-off", false, 1, 2000ms, 0.2}}}},
       {"mending-desk",
        12,
        3,
        300,
        0.3,
        {{{"mending-order", false, 1, 2000ms, 0.5}, {"anchor-alert", false, 0, 2000ms, 0.5}}}}}}},
    {"fundusz",
     {"pomorze", "slask", "mazowsze"},
     {{{"ewidencja",
        30,
        7,
        400,
        0.7,
        {{{"balance", true, 2, 2000ms, 0.8}, {"registration", false, 1, 2000ms, 0.2}}}},
       {"kasa",
        12,
        4,
        400,
        0.3,
        {{{"disbursement", false, 1, 2000ms, 0.7}, {"card-block", false, 0, 2000ms, 0.3}}}}}}},
}};

} // namespace cove
