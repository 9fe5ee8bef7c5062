#pragma once
/** @file The seeded schedule of faults and changes of a process soak. */

#include "core/time_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cove {

/** A fault of a TCP link. */
enum class link_fault {
    delay,      ///< each piece of data comes late
    reset,      ///< open connections are reset
    refuse_new, ///< new connections are reset, open ones work
    mute_open,  ///< open connections carry nothing and are acknowledged, new ones work
    mute_all,   ///< open and new connections carry nothing and are acknowledged
    mute_up,    ///< as mute_all, in the direction of the server only
    mute_down,  ///< as mute_all, in the direction of the client only
};

/** @return the name of @p fault, for journals. */
char const* to_string(link_fault fault);

enum class step_kind {
    break_store_links, ///< of the hosts named
    mend_store_links,
    break_target_link,
    mend_target_link,
    freeze_hosts,
    resume_hosts,
    kill_hosts,
    terminate_hosts,
    start_hosts, ///< those that were killed or terminated
    change_service,
    change_home,
    add_route,
    drop_route, ///< the oldest of those that were added
    evacuate_zone,
    lift_evacuation,
    retire_target,
    replace_listed_targets, ///< some of those without a process
};

/** @return the name of @p kind, for journals. */
char const* to_string(step_kind kind);

/** One step of the schedule. */
struct soak_step {
    milliseconds at{0}; ///< since the first request
    step_kind kind = step_kind::change_service;
    std::vector<std::size_t> hosts{};
    link_fault fault = link_fault::mute_open;
    std::size_t index = 0; ///< of the zone or the target
};

/** The deployment that a schedule is for. Hosts are numbered zone by zone. */
struct soak_shape {
    std::size_t zones = 2;
    std::size_t hosts_per_zone = 3;
    std::size_t targets = 12;
    std::size_t listed_targets = 0; ///< entries of a service without a route, without a process
    std::size_t clients_per_host = 3;
};

/** Which faults and changes a run plays. */
enum class schedule_kind {
    mixed,           ///< links, signals and changes of all kinds
    blind_followers, ///< the store is silent for the hosts of a zone that follow it
    blind_share,     ///< the store is silent for a share of all hosts
    blind_zone,      ///< the store is silent for all hosts of a zone
};

/** @return the kind called @p name ("mixed", "blind-followers" and so on), or nothing. */
std::optional<schedule_kind> schedule_kind_of(std::string const& name);

/** @return the steps of the run with @p seed, ordered by time. */
std::vector<soak_step> make_step_schedule(std::uint64_t seed, milliseconds duration,
                                          soak_shape const& shape);

/**
 * @param kind one of the kinds in which the store is silent for some hosts.
 * @return steps with series of changes while these hosts are blind, ordered by time.
 */
std::vector<soak_step> make_blind_schedule(std::uint64_t seed, milliseconds duration,
                                           soak_shape const& shape, schedule_kind kind);

} // namespace cove
