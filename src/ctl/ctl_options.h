#pragma once
/** @file Options, exit codes and reports of covectl. */

#include "config/deployment_type.h"
#include "core/error.h"

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace cove {

/** Exit codes of covectl, for scripts. */
inline constexpr int ctl_ok = 0;
inline constexpr int ctl_failed = 1;    ///< failed without effect, or invalid configuration
inline constexpr int ctl_usage = 2;     ///< invalid command line
inline constexpr int ctl_conflict = 3;  ///< another submit made a newer generation
inline constexpr int ctl_not_known = 4; ///< may have taken effect; the report says how to check
inline constexpr int ctl_timeout = 5;   ///< timed out

/** Command line options; each command uses some of them. */
struct ctl_options {
    std::string file;         ///< configuration file, "-" for standard input
    std::string store;        ///< IP:port of the platform's store
    std::string hosts;        ///< host list file, instead of the store's host list
    std::string lookup;       ///< IP:port of a look-up process
    std::string submit_id;    ///< unique id of a submit
    std::string caller;       ///< for explain
    std::string service;      ///< for explain and drain
    std::string zone;         ///< for drain: zone to take traffic from
    std::string to;           ///< for drain: zone that takes over the traffic
    std::string time;         ///< for explain and drain: RFC 3339; empty: now
    std::int64_t number = -1; ///< generation; -1 if not given
    double step = 0.1;        ///< for drain: share moved at each step
    int interval_s = 10;      ///< for drain: seconds between steps
    int timeout_s = 5;        ///< of a call, or of the whole wait command
    bool json = false;        ///< print one JSON object to standard output
};

/** Result of a command, printed as text lines or as JSON. */
struct ctl_report {
    int exit_code = ctl_ok;
    std::vector<std::string> lines;         ///< human-readable output
    std::shared_ptr<nlohmann::json> values; ///< JSON output
};

/** @return a report of @p error with @p exit_code. */
ctl_report report_error(int exit_code, step_error const& error);

/** @return a report; adds @p exit_code to @p values. */
ctl_report make_report(int exit_code, std::vector<std::string> lines, nlohmann::json values);

/** Reads and validates a configuration. @param path file, or "-" for standard input. */
result<deployment> read_configuration_file(std::string const& path);

/** Parses an RFC 3339 time. @return the current time in whole seconds if @p text is empty. */
result<wall_time> read_time_option(std::string const& text);

} // namespace cove
