#pragma once
/** @file What clients, targets and the operator saw in a run of the process soak. */

#include "core/time_type.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cove {

/** What one route allows in one version of the configuration. */
struct route_rule {
    std::string service;
    std::string home_region; ///< empty: requests may run in every region
};

/** One version of the configuration. */
struct config_change {
    int version = 0;
    mono_time written;                        ///< from here on it may be in force
    mono_time acknowledged;                   ///< by the store
    std::map<std::string, route_rule> routes; ///< by path prefix
};

/** One run of a request by a target. */
struct target_run {
    std::string attempt;
    std::string target;
    std::string service;
    std::string zone;
    std::string region;
    mono_time at;
};

/** One request as its client saw it. */
struct client_request {
    std::string attempt;
    std::string host;
    std::string route; ///< path prefix
    bool once = false; ///< may run once at most
    mono_time sent;
    mono_time ended;
    int status = 0; ///< 0: no answer
    bool signed_by_target = false;
    bool timed_out = false; ///< the client gave up
};

/** A fault or a planned stop at one place. */
struct disturbance {
    std::string place; ///< name of a host, id of a target, or `everywhere`
    std::string cause;
    mono_time begin;
    std::optional<mono_time> end; ///< empty: not over yet
    bool planned = false;
};

/** The place of a disturbance that concerns all hosts. */
inline constexpr char const* everywhere = "everywhere";

/** A zone that is to get no requests. */
struct zone_evacuation {
    std::string zone;
    mono_time acknowledged;
    std::optional<mono_time> lifted;
};

/** A target that reported that it leaves. */
struct target_departure {
    std::string target;
    mono_time acknowledged;
};

/** Everything that the audit needs of a run. */
struct run_record {
    std::vector<config_change> configs;
    std::vector<client_request> requests;
    std::vector<target_run> runs;
    std::vector<disturbance> disturbances;
    std::vector<zone_evacuation> evacuations;
    std::vector<target_departure> departures;
};

/** The bounds of the rules. */
struct rule_bounds {
    milliseconds contact{3000};      ///< calm time after which a host is in touch
    milliseconds config_apply{2000}; ///< from acknowledgement to force
    milliseconds evacuation{5000};   ///< from acknowledgement to the last request
    milliseconds drain{2000};        ///< from a target's report to the last request
    milliseconds grace{6000};        ///< from SIGTERM to SIGKILL
    int lost_max = 3;                ///< answers that hosts without a stop may lose in a run
};

} // namespace cove
