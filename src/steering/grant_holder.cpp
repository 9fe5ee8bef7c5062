#include "steering/grant_holder.h"

#include "core/invariant.h"
#include "steering/grant_issuer.h"

#include <algorithm>

namespace cove {

grant_request start_grant_request(grant_holder& holder, grant_key const& key, node_id const& issuer,
                                  int wanted, mono_time now)
{
    held_grant& grant = holder.grants[key];
    grant.issuer = issuer;
    grant.pending_sequence = ++holder.last_sequence;
    grant.last_request_at = now;
    grant.peak_in_use = grant.in_use;
    return {grant.pending_sequence, key.service, wanted};
}

void on_grant_answer(grant_holder& holder, node_view const& view, node_id const& from,
                     grant_answer const& answer)
{
    auto const found = std::ranges::find_if(holder.grants, [&](auto const& item) {
        return item.second.pending_sequence == answer.sequence && item.second.issuer == from;
    });
    if (answer.sequence == 0 || found == holder.grants.end() ||
        found->first.service != answer.service) {
        return;
    }
    held_grant& grant = found->second;
    grant.pending_sequence = 0;
    grant.last_answer_at = view.now.mono;
    grant.room = answer.room;
    if (answer.units <= 0) {
        return;
    }
    grant.units = answer.units;
    grant.grant_requested_at = grant.last_request_at;
    grant.expires = grant.last_request_at + answer.lifetime;
    if (view.disabled.grant_expiry) {
        grant.expires = view.now.mono + 2 * answer.lifetime;
    }
}

bool use_grant(grant_holder& holder, node_view const& view, grant_key const& key)
{
    auto const found = holder.grants.find(key);
    if (view.disabled.grants) {
        ++holder.grants[key].in_use;
        require_invariant(found != holder.grants.end() && view.now.mono < found->second.expires,
                          "requests go to another zone only under an unexpired grant");
        return true;
    }
    if (found == holder.grants.end() || view.now.mono >= found->second.expires ||
        found->second.in_use >= found->second.units) {
        return false;
    }
    held_grant& grant = found->second;
    ++grant.in_use;
    grant.peak_in_use = std::max(grant.peak_in_use, grant.in_use);
    require_invariant(view.now.mono < grant.grant_requested_at + grant_lifetime,
                      "a holder stops using a grant before its issuer counts it as expired");
    return true;
}

void release_grant(grant_holder& holder, grant_key const& key)
{
    auto const found = holder.grants.find(key);
    if (found != holder.grants.end() && found->second.in_use > 0) {
        --found->second.in_use;
    }
}

std::optional<grant_return> return_unused(grant_holder& holder, grant_key const& key, mono_time now)
{
    auto const found = holder.grants.find(key);
    if (found == holder.grants.end() || now >= found->second.expires ||
        found->second.peak_in_use >= found->second.units) {
        return std::nullopt;
    }
    held_grant& grant = found->second;
    grant.units = grant.peak_in_use;
    grant.pending_sequence = 0;
    return grant_return{++holder.last_sequence, key.service, grant.peak_in_use};
}

} // namespace cove
