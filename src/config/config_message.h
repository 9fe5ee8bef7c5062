#pragma once
/** @file Messages that distribute the configuration and the host list. */

#include "config/config_section_type.h"
#include "membership/host_list_type.h"

#include <memory>

namespace cove {

/** Announces the generation that the sender has. */
struct config_offer {
    generation number;
};

/** Asks for the manifest in force, for sections, or for both. */
struct config_fetch {
    bool manifest = false;
    std::vector<std::string> hashes;
};

/** Sections that were requested; not always all of them. */
struct config_sections {
    std::vector<config_section> sections;
};

/** Sent periodically by an entry host to its bridge: what to do and which versions it has. */
struct bridge_role {
    bool watch = false; ///< whether to watch the platform for changes
    generation number;
    std::uint64_t host_list_version = 0;
};

/** The platform's host list, forwarded by a bridge. */
struct bridge_host_list {
    std::string json; ///< as stored; empty after decoding
    std::shared_ptr<host_list const> hosts;
};

/** @return the peer id of the bridge of @p entry. */
inline node_id bridge_of(node_id const& entry)
{
    return node_id{entry.value + "/bridge"};
}

} // namespace cove
