#include "admission/workspace_shares.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace cove {

namespace {

constexpr milliseconds half_life{2000}; ///< of a request in the accounts
/// The cost of a computation grows with the number of workspaces, so not each request makes one.
constexpr milliseconds recompute_interval{100};
/// Share of the fair share from which on a workspace counts as beyond it. A workspace that takes
/// all that others leave stays just below its full share, and the others would lose requests
/// meanwhile.
constexpr double beyond_from = 0.9;
/// A workspace that is served less often than this, relative to all, is not beyond its share. None
/// may fall below a quarter; the rest is a margin for the delay of the accounts.
constexpr double min_relative_rate = 0.35;
constexpr double forgotten_below = 0.01; ///< accounts with fewer requests are removed

double decay(mono_time since, mono_time now)
{
    using float_ms = std::chrono::duration<double, std::milli>;
    return std::exp2(-float_ms(now - since).count() / static_cast<double>(half_life.count()));
}

/** @return the equal share of @p served among @p demands, of which smaller ones are met in full. */
double fair_share(std::vector<double> demands, double served)
{
    std::sort(demands.begin(), demands.end());
    for (std::size_t i = 0; i < demands.size(); ++i) {
        double const share = served / static_cast<double>(demands.size() - i);
        if (demands[i] >= share) {
            return share;
        }
        served -= demands[i];
    }
    return demands.empty() ? 0 : demands.back(); // all are met
}

} // namespace

workspace_shares::account& workspace_shares::at(int priority, workspace_id const& workspace,
                                                mono_time now)
{
    account& found = accounts_[priority][workspace];
    double const factor = decay(found.since, now);
    found.asked *= factor;
    found.served *= factor;
    found.since = now;
    return found;
}

void workspace_shares::asked(int priority, workspace_id const& workspace, mono_time now)
{
    at(priority, workspace, now).asked += 1;
}

void workspace_shares::served(int priority, workspace_id const& workspace, mono_time now)
{
    at(priority, workspace, now).served += 1;
}

bool workspace_shares::beyond(int priority, workspace_id const& workspace, mono_time now)
{
    if (now - recomputed_ >= recompute_interval) {
        recompute(now);
    }
    auto const accounts = accounts_.find(priority);
    if (accounts == accounts_.end()) {
        return false;
    }
    auto const found = accounts->second.find(workspace);
    return found != accounts->second.end() && found->second.beyond;
}

void workspace_shares::recompute(mono_time now)
{
    recomputed_ = now;
    for (auto& [priority, accounts] : accounts_) {
        std::vector<double> demands;
        double asked = 0;
        double served = 0;
        for (auto& [workspace, account] : accounts) {
            double const factor = decay(account.since, now);
            account.asked *= factor;
            account.served *= factor;
            account.since = now;
            demands.push_back(account.asked);
            asked += account.asked;
            served += account.served;
        }
        double const share = fair_share(std::move(demands), served);
        for (auto& [workspace, account] : accounts) {
            double const least = min_relative_rate * served / asked * account.asked;
            account.beyond =
                account.asked > share && account.served > std::max(beyond_from * share, least);
        }
        std::erase_if(accounts,
                      [](auto const& item) { return item.second.asked < forgotten_below; });
    }
}

} // namespace cove
