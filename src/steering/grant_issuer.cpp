#include "steering/grant_issuer.h"

#include "core/invariant.h"

#include <algorithm>

namespace cove {

namespace {

int usable_units(holder_grants const& holder)
{
    int most = 0;
    for (issued_grant const& grant : holder.grants) {
        most = std::max(most, grant.units);
    }
    return most;
}

/** Applies @p change to a holder's grants and updates the outstanding units of the service. */
template <class Change>
void change_grants(grant_issuer& issuer, service_id const& service, holder_grants& holder,
                   Change change)
{
    int const before = usable_units(holder);
    change(holder.grants);
    issuer.outstanding[service] += usable_units(holder) - before;
}

} // namespace

std::optional<grant_answer> issue_grant(grant_issuer& issuer, grant_holder_key const& holder,
                                        grant_request const& request, int grantable, mono_time now)
{
    expire_grants(issuer, now);
    auto const known = issuer.holders.find(holder);
    int const held = known == issuer.holders.end() ? 0 : usable_units(known->second);
    if (known != issuer.holders.end() && request.sequence <= known->second.last_sequence) {
        return std::nullopt;
    }
    int const others = outstanding_units(issuer, request.service) - held;
    int const room = now < issuer.no_grants_before ? 0 : std::max(0, grantable - others);
    int const units = std::clamp(request.wanted, 0, room);
    if (units > 0) {
        holder_grants& issued = issuer.holders[holder];
        issued.last_sequence = request.sequence;
        mono_time const expires = now + grant_lifetime + grant_margin;
        issuer.expiries.push_back({expires, holder});
        change_grants(issuer, request.service, issued, [&](std::vector<issued_grant>& grants) {
            grants.push_back({request.sequence, units, expires});
        });
        require_invariant(others + units <= grantable,
                          "outstanding grants do not exceed the grantable units");
    }
    return grant_answer{request.sequence, request.service, units, grant_lifetime, room - units};
}

void apply_grant_return(grant_issuer& issuer, grant_holder_key const& holder,
                        grant_return const& returned)
{
    auto const found = issuer.holders.find(holder);
    if (found == issuer.holders.end()) {
        return;
    }
    holder_grants& issued = found->second;
    issued.last_sequence = std::max(issued.last_sequence, returned.sequence);
    change_grants(issuer, holder.service, issued, [&](std::vector<issued_grant>& grants) {
        for (issued_grant& grant : grants) {
            if (grant.sequence < returned.sequence) {
                grant.units = std::min(grant.units, std::max(0, returned.keep));
            }
        }
    });
}

void expire_grants(grant_issuer& issuer, mono_time now)
{
    while (!issuer.expiries.empty() && issuer.expiries.front().at <= now) {
        auto const found = issuer.holders.find(issuer.expiries.front().holder);
        issuer.expiries.pop_front();
        if (found == issuer.holders.end()) {
            continue;
        }
        change_grants(issuer, found->first.service, found->second, [&](auto& grants) {
            std::erase_if(grants, [&](issued_grant const& grant) { return grant.expires <= now; });
        });
        if (found->second.grants.empty()) {
            issuer.holders.erase(found);
        }
    }
}

int outstanding_units(grant_issuer const& issuer, service_id const& service)
{
    auto const found = issuer.outstanding.find(service);
    return found == issuer.outstanding.end() ? 0 : found->second;
}

} // namespace cove
