#pragma once
/** @file Decides whether a request may run, and for which workspace. */

#include "workspace/workspace_directory.h"

#include <optional>

namespace cove {

/** What the gate decided. */
enum class admission {
    admitted,
    unauthorized,   ///< 401: no access key that is known
    not_fresh,      ///< 503: a newer configuration may have withdrawn or added the key
    not_known_yet,  ///< 503: the host that admitted the request has a newer configuration
    no_home_region, ///< 503: route and workspace have no home region in common
};

/** A decision and the workspace that it rests on. */
struct admission_decision {
    admission outcome = admission::unauthorized;
    workspace_config const* workspace = nullptr; ///< null: none; lives as long as the directory
    std::string_view key = {};                   ///< as sent by the client, if well-formed
};

/** The rules of a route that concern access. */
struct access_rules {
    bool is_public = false;                     ///< a key is not needed
    std::vector<region_id> const& home_regions; ///< empty means any
};

/** What the host that relays a request tells of its admission. */
struct relayed_admission {
    std::string_view workspace;   ///< empty: none
    std::string_view fingerprint; ///< of the key; empty: none
    generation version;           ///< configuration that admitted it
};

/** Admits requests of clients and of hosts that relay them. */
class workspace_gate {
public:
    /** @param key_scheme of the Authorization field, before the key; its case does not matter. */
    explicit workspace_gate(std::string key_scheme) : key_scheme_(std::move(key_scheme)) {}

    /**
     * @param authorizations values of all Authorization fields of the request.
     * @param fresh whether the configuration is known to be new enough for decisions on keys.
     */
    [[nodiscard]] admission_decision admit(access_rules const& rules,
                                           std::vector<std::string_view> const& authorizations,
                                           workspace_directory const& directory, bool fresh) const;

    /** Decides again for a request that another host has admitted. @param own version here. */
    [[nodiscard]] static admission_decision admit_relayed(access_rules const& rules,
                                                          relayed_admission const& relayed,
                                                          workspace_directory const& directory,
                                                          generation own, bool fresh);

private:
    [[nodiscard]] std::optional<std::string_view>
    key_of(std::vector<std::string_view> const& authorizations) const;

    std::string key_scheme_;
};

} // namespace cove
