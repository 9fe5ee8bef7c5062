#pragma once
/** @file Look-up answers, precomputed from a snapshot so that answering a caller is cheap. */

#include "node/node_effect.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cove {

inline constexpr std::size_t hosts_per_answer = 6;            ///< most entry hosts in an answer
inline constexpr std::size_t first_zone_hosts_per_answer = 3; ///< most from the caller's first zone

/** One entry host with its serialized form. */
struct prepared_entry {
    node_id node;
    std::uint64_t hash = 0; ///< hash of the node id
    double weight = 1;
    std::string json; ///< JSON object in an answer
};

/** The entry hosts of one zone. */
struct prepared_zone {
    zone_id id;
    std::uint64_t hash = 0; ///< hash of the zone id
    std::vector<prepared_entry> entries;
};

/** Share of callers that are directed to one zone. */
struct prepared_share {
    std::size_t zone = 0; ///< index of the zone in the prepared look-up
    double share = 0;
};

/** A snapshot, prepared for answering the callers of one zone. */
class prepared_lookup {
public:
    /** @param own_zone zone of the look-up process; it serves the callers that no share moves. */
    prepared_lookup(lookup_snapshot const& snapshot, zone_id const& own_zone);

    [[nodiscard]] bool empty() const { return zones_.empty(); }

    /**
     * Orders the entry hosts for one caller by weighted rendezvous hashing, so that a change of
     * shares or hosts moves as few callers as possible.
     * @param service the service whose shares apply; an unknown service has none.
     * @param caller any stable name of the caller.
     */
    [[nodiscard]] std::vector<prepared_entry const*> order(service_id const& service,
                                                           std::string_view caller) const;

    /** @return the JSON text of the answer for one caller. */
    [[nodiscard]] std::string answer(service_id const& service, std::string_view caller) const;

private:
    [[nodiscard]] std::size_t first_zone(service_id const& service,
                                         std::uint64_t caller_hash) const;

    std::string prefix_; ///< JSON text before the entry hosts
    std::vector<prepared_zone> zones_;
    std::optional<std::size_t> own_zone_; ///< index of the own zone, if it has entry hosts
    std::map<service_id, std::vector<prepared_share>> shares_;
};

} // namespace cove
