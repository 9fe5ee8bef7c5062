#include "workspace/workspace_gate.h"

#include "workspace/access_key.h"

#include <algorithm>

namespace cove {

namespace {

char lower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

bool equal_without_case(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](char x, char y) { return lower(x) == lower(y); });
}

bool shares_region(std::vector<region_id> const& a, std::vector<region_id> const& b)
{
    return a.empty() || b.empty() ||
           std::find_first_of(a.begin(), a.end(), b.begin(), b.end()) != a.end();
}

/** @return the decision for a request of @p workspace, whose key is known. */
admission_decision admit_for(workspace_config const& workspace, access_rules const& rules)
{
    bool const has_region = shares_region(workspace.home_regions, rules.home_regions);
    return {has_region ? admission::admitted : admission::no_home_region, &workspace};
}

} // namespace

std::optional<std::string_view>
workspace_gate::key_of(std::vector<std::string_view> const& authorizations) const
{
    if (authorizations.size() != 1) {
        return std::nullopt;
    }
    std::string_view const value = authorizations.front();
    auto const scheme_end = value.find(' ');
    if (scheme_end == std::string_view::npos ||
        !equal_without_case(value.substr(0, scheme_end), key_scheme_)) {
        return std::nullopt;
    }
    auto const key_begin = value.find_first_not_of(' ', scheme_end);
    if (key_begin == std::string_view::npos || !is_access_key(value.substr(key_begin))) {
        return std::nullopt;
    }
    return value.substr(key_begin);
}

admission_decision workspace_gate::admit(access_rules const& rules,
                                         std::vector<std::string_view> const& authorizations,
                                         workspace_directory const& directory, bool fresh) const
{
    auto const key = key_of(authorizations);
    if (!fresh || !key) {
        // Without a fresh configuration, a key on a public route may have been withdrawn.
        admission const refused = key ? admission::not_fresh : admission::unauthorized;
        return {rules.is_public ? admission::admitted : refused, nullptr,
                key.value_or(std::string_view{})};
    }
    workspace_config const* const workspace = directory.find(*key);
    if (workspace == nullptr) {
        return {rules.is_public ? admission::admitted : admission::unauthorized, nullptr, *key};
    }
    admission_decision decision = admit_for(*workspace, rules);
    decision.key = *key;
    return decision;
}

admission_decision workspace_gate::admit_relayed(access_rules const& rules,
                                                 relayed_admission const& relayed,
                                                 workspace_directory const& directory,
                                                 generation own, bool fresh)
{
    workspace_config const* found = nullptr;
    if (fresh && !relayed.fingerprint.empty()) {
        found = directory.find_fingerprint(relayed.fingerprint);
    }
    // A key that has another workspace in a newer configuration belongs to that one.
    bool const outdated = own < relayed.version;
    if (found != nullptr && (!outdated || found->name.value == relayed.workspace)) {
        return admit_for(*found, rules);
    }
    if (rules.is_public) {
        return {admission::admitted};
    }
    if (!fresh) {
        return {admission::not_fresh};
    }
    return {outdated ? admission::not_known_yet : admission::unauthorized};
}

} // namespace cove
