#pragma once
/** @file The stored and transferred form of a configuration: a manifest and hashed sections. */

#include "core/ids_type.h"
#include "core/payload_type.h"

#include <string>
#include <vector>

namespace cove {

/** A section's name and the hash of its text. */
struct section_ref {
    std::string name;
    std::string hash;
    bool operator==(section_ref const&) const = default;
};

/** The sections that make up a generation. */
struct config_manifest {
    generation number;
    std::string submit_id; ///< of the submit that made the generation
    std::vector<section_ref> sections;
    bool operator==(config_manifest const&) const = default;
};

/** A section: a JSON object with some keys of the configuration. */
struct config_section {
    section_ref ref;
    payload text;
};

} // namespace cove
