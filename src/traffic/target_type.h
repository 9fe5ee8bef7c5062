#pragma once
/** @file Targets as the platform lists them and as answers describe them. */

#include "core/ids_type.h"
#include "core/time_type.h"

#include <string>

namespace cove {

using revision = strong_number<struct revision_tag>;   ///< of the platform's store
using object_key = strong_name<struct object_key_tag>; ///< what a request is about; may be empty
using target_life = strong_type<struct target_life_tag, std::int64_t>; ///< one start of a target

/** Whether a target wants new work. */
enum class target_phase { serving, leaving };

/** One target as it registered itself. */
struct target_entry {
    target_id id;
    service_id service;
    std::string address; ///< IP:port
    zone_id zone;
    int slots = 1;
    target_phase phase = target_phase::serving;
    milliseconds cold_left{}; ///< zero when warm; counted from the moment of the report
    target_life life;         ///< differs after a restart under the same id
    bool operator==(target_entry const&) const = default;
};

/** What the targets of a zone carry of one service, as one host of the zone sees it. */
struct service_load_report {
    service_id service;
    double slots = 0;  ///< of targets that take work now
    double listed = 0; ///< slots of all targets but those that leave
    double busy = 0;   ///< requests that they run
    int waiting = 0;   ///< requests that wait in this host
};

/** The load that a target reports with an answer. */
struct target_load {
    int running = 0;
    int waiting = 0;
    int slots = 0;
};

} // namespace cove
