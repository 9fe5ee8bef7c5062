#pragma once
/** @file Issuing of grants: the capacity of this zone that is reserved for hosts of other zones. */

#include "node/node_view.h"
#include "steering/steering_message.h"

#include <deque>
#include <map>

namespace cove {

/** Validity of a grant, which the holder measures on its own clock from sending its request. */
inline constexpr milliseconds grant_lifetime{3000};
/** The issuer counts a grant for this much longer, in case its own clock is the faster one. */
inline constexpr milliseconds grant_margin{300};

/** One unexpired grant. */
struct issued_grant {
    std::uint64_t sequence = 0; ///< sequence number of the request that it answers
    int units = 0;              ///< number of requests that may be in flight
    mono_time expires{};
};

/** One incarnation of an entry host that holds grants for one service. */
struct grant_holder_key {
    node_id node;
    incarnation_id incarnation;
    service_id service;
    auto operator<=>(grant_holder_key const&) const = default;
};

/** Unexpired grants of one holder, which may use the largest of them until it expires. */
struct holder_grants {
    std::uint64_t last_sequence = 0;
    std::vector<issued_grant> grants;
};

/** Expiry time of one grant. */
struct grant_expiry {
    mono_time at;
    grant_holder_key holder;
};

/** All unexpired grants that this node issued. */
struct grant_issuer {
    std::map<grant_holder_key, holder_grants> holders;
    std::deque<grant_expiry> expiries;     ///< earliest first
    std::map<service_id, int> outstanding; ///< units that holders may still use, by service
    mono_time no_grants_before{}; ///< until then, grants of the previous issuer may be in use
};

/**
 * Answers a request for capacity.
 * @param grantable total units that this node may have outstanding for the service.
 * @return the answer, or nothing when the request is a duplicate or was overtaken by a later one.
 */
std::optional<grant_answer> issue_grant(grant_issuer& issuer, grant_holder_key const& holder,
                                        grant_request const& request, int grantable, mono_time now);

/** Reduces the holder's grants that it requested before it sent @p returned. */
void apply_grant_return(grant_issuer& issuer, grant_holder_key const& holder,
                        grant_return const& returned);

/** Removes expired grants. */
void expire_grants(grant_issuer& issuer, mono_time now);

/** @return the units of @p service that holders may still use. */
int outstanding_units(grant_issuer const& issuer, service_id const& service);

} // namespace cove
