#pragma once
/** @file Targets as listed by the platform and as described by their answers. */

#include "core/ids_type.h"
#include "core/store_position_type.h"
#include "core/time_type.h"

#include <optional>
#include <string>
#include <vector>

namespace cove {

using object_key = strong_name<struct object_key_tag>; ///< affinity key of a request; may be empty
/// Incarnation of a target: changes with each start.
using target_incarnation = strong_type<struct target_incarnation_tag, std::int64_t>;

/** Whether a target accepts new requests. */
enum class target_phase { serving, leaving };

/** Registration of one target. */
struct target_entry {
    target_id id;
    service_id service;
    std::string address; ///< IP:port
    zone_id zone;
    int slots = 1;
    target_phase phase = target_phase::serving;
    milliseconds cold_left{};       ///< rest of its cold period when it reported; zero if warm
    target_incarnation incarnation; ///< differs after a restart under the same id
    bool operator==(target_entry const&) const = default;
};

/** A change of one entry of the list of targets. */
struct target_change {
    target_id id;
    std::optional<target_entry> entry; ///< absent if it was removed or is not a valid target
};

/** An entry that is out of the store's list, but kept for a while. */
struct held_target {
    target_id id;
    milliseconds left{}; ///< time until it is removed
};

/**
 * Load of the targets of one service in a zone, as seen by one host of the zone. The targets of an
 * evacuated zone are not counted.
 */
struct service_load_report {
    service_id service;
    double slots = 0;  ///< slots of targets that accept requests now and are not cold
    double listed = 0; ///< slots of all targets that are neither leaving nor cold
    double busy = 0;   ///< requests at the targets counted in `slots`
    int waiting = 0;   ///< requests queued in this host
};

/** Objects of a service, by short hashes of their keys. */
struct service_objects {
    service_id service;
    std::vector<std::uint32_t> objects;
};

/** Limit that a target names in its answers: requests per second of all hosts together. */
struct rate_limit_notice {
    std::optional<double> limit; ///< absent: the target names none
    mono_time heard{};           ///< when the answer arrived
};

/** Load that a target reports with an answer. */
struct target_load {
    int running = 0;
    int waiting = 0;
    int slots = 0;
    /// Time that work takes on its machine now, relative to the usual; absent: the target tells
    /// none.
    std::optional<double> slowness = std::nullopt;
};

} // namespace cove
