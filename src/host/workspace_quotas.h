#pragma once
/** @file Quotas of the workspaces at this host: connects claims, buckets, messages and metrics. */

#include "core/random.h"
#include "host/host_settings.h"
#include "log/log_limiter.h"
#include "peer/host_view.h"
#include "quota/quota_claims.h"
#include "quota/quota_limiter.h"
#include "route/route_type.h"

namespace cove {

/** Result of taking a unit of a quota for a request. */
struct quota_ticket {
    bool admitted = true;
    milliseconds retry_after{}; ///< if not admitted
    workspace_id workspace;     ///< whose unit can be given back; empty: none
    mono_time taken{};
};

/** Limits the requests of workspaces that have a limit; the others are not affected. */
class workspace_quotas {
public:
    workspace_quotas(host_settings const& settings, log_limiter& log, std::uint64_t seed,
                     mono_time now);

    /** Takes over the limits of @p config. */
    void set_config(routing_config const& config, mono_time now);

    /**
     * @param workspace of the request; empty: it has none and is admitted.
     * @param time_left for which the client waits.
     */
    quota_ticket take(workspace_id const& workspace, milliseconds time_left, mono_time now);

    /** Returns the unit of a request that has not run. */
    void give_back(quota_ticket const& ticket, mono_time now);

    /** Takes over the quota entries of the reports in @p message. */
    void hear(gossip const& message, mono_time now);

    /** Updates the claims. Call it before each round of reports. */
    void tick(host_view const& view, bool leaving, mono_time now);

    /** Adds the quota entries of this host to its next report. */
    void add_to(local_host_state& own) const;

    /** @return the metrics of workspaces with a limit, as Prometheus text. */
    [[nodiscard]] std::string prometheus() const;

private:
    void note_refusal(workspace_id const& workspace, mono_time now);
    void note_ended_limiting(mono_time now);

    log_limiter& log_;
    random_engine random_;
    milliseconds window_;
    workspace_limits limits_;
    quota_claims claims_;
    quota_limiter limiter_;
    std::map<workspace_id, mono_time> last_refusals_; ///< of the workspaces being limited
    microseconds suspended_;                          ///< time of this machine so far
};

} // namespace cove
