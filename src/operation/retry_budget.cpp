#include "operation/retry_budget.h"

#include <algorithm>

namespace cove {

namespace {

constexpr double retries_per_request = 0.1; ///< earned by each first attempt
constexpr double initial_retries = 3;       ///< available before the first request
constexpr double max_retries = 20;          ///< most retries saved up for a burst of failures

double& balance(retry_budget& budget, retry_route const& route)
{
    return budget.earned.try_emplace(route, initial_retries).first->second;
}

} // namespace

void earn_retry(retry_budget& budget, service_id const& service, class_id const& request_class,
                node_id const& destination)
{
    for (double* one : {&balance(budget, {service, request_class, {}}),
                        &balance(budget, {service, request_class, destination})}) {
        *one = std::min(max_retries, *one + retries_per_request);
    }
}

bool spend_retry(retry_budget& budget, service_id const& service, class_id const& request_class,
                 node_id const& destination)
{
    double& whole = balance(budget, {service, request_class, {}});
    double& to_destination = balance(budget, {service, request_class, destination});
    if (whole < 1 || to_destination < 1) {
        return false;
    }
    whole -= 1;
    to_destination -= 1;
    return true;
}

} // namespace cove
