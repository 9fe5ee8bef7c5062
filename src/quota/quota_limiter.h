#pragma once
/** @file Token buckets of this host for the workspaces with a limit. */

#include "quota/quota_type.h"

#include <array>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace cove {

/** Result of quota_limiter::take(). */
struct quota_unit {
    bool admitted = true;
    bool returnable = false; ///< taken from a bucket
    milliseconds wait{};     ///< if not admitted: until the next unit
};

/** What quota_limiter counts of a workspace. */
struct quota_count {
    workspace_id workspace;
    std::uint64_t admitted = 0;
    std::uint64_t over_quota = 0;
    double claim = 0; ///< requests per second
};

/**
 * Admits requests from one token bucket per workspace and measures the demand.
 *
 * All buckets of a workspace together hold at most the burst and three quarters of the
 * tolerance: a small bucket is enlarged to at most two units and to its share of that sum. A host
 * whose bucket holds less than one unit admits requests at a minimum rate from the other quarter.
 * While the demand of all hosts fits the limit, each bucket holds two units or more and gets one
 * every two seconds.
 */
class quota_limiter {
public:
    /** @param seed different on each host; decides which hosts round a small bucket up. */
    explicit quota_limiter(quota_settings settings, std::uint64_t seed = 0)
        : settings_(settings), seed_(seed)
    {
    }

    /** Replaces the limits. A bucket that stays keeps its units, up to its new size. */
    void set_limits(workspace_limits const& limits, mono_time now);

    /**
     * @param rate requests per second that this host may admit of the workspace, for at most
     * `claim_lifetime`: after a longer pause of this process other hosts may use its claim.
     * @param within_limit whether the demand of all hosts fits the limit. Each of them can then
     * admit the requests of a client that comes now and then.
     */
    void set_claim(workspace_id const& workspace, double rate, bool within_limit, mono_time now);

    /** @param hosts that are known to share the limits, this one included. */
    void set_hosts(int hosts) { hosts_ = hosts; }

    /** Counts a request and takes one unit for it. A workspace without limit is admitted. */
    quota_unit take(workspace_id const& workspace, mono_time now);

    /**
     * Returns the unit of a request that has not run.
     *
     * It is lost if the bucket would have overflowed with it, or if it was taken more than
     * `return_time` ago: units of an earlier window must not add to those of the current one.
     * @param taken when take() returned it.
     */
    void give_back(workspace_id const& workspace, mono_time taken, mono_time now);

    /** @return requests per second before rejection, smoothed; 0 for a workspace without limit. */
    [[nodiscard]] double demand(workspace_id const& workspace, mono_time now) const;

    /** @return requests per second that this host may admit of the workspace. */
    [[nodiscard]] double claim(workspace_id const& workspace, mono_time now) const;

    /** @return the counts of all workspaces with a limit. */
    [[nodiscard]] std::vector<quota_count> counts() const;

    static constexpr milliseconds return_time{10'000};
    static constexpr milliseconds claim_lifetime{45'000};

private:
    struct bucket {
        workspace_limit limit;
        double claim = 0;
        bool within_limit = false;
        mono_time renewed{}; ///< when the claim was last set
        double size = 0;
        double units = 0;
        mono_time refilled{};
        std::array<double, 2> peaks{}; ///< most units in this period of return_time and the last
        mono_time period_start{};
        mono_time last_minimum{}; ///< when a unit of the minimum rate was taken, or the start
        double demand = 0;        ///< at `measured`, requests per second
        mono_time measured{};
        quota_count count;
    };

    void resize(bucket& entry) const;
    [[nodiscard]] bool rounds_up(workspace_id const& workspace, double part) const;
    static void refill(bucket& entry, mono_time now);
    [[nodiscard]] static double refill_rate(bucket const& entry);
    quota_unit take_minimum(bucket& entry, mono_time now) const;
    [[nodiscard]] milliseconds minimum_interval(bucket const& entry) const;

    quota_settings settings_;
    std::uint64_t seed_;
    int hosts_ = 1;
    std::unordered_map<workspace_id, bucket> buckets_;
};

} // namespace cove
