#pragma once
/** @file Submits a configuration to the object store as the next generation. */

#include "config/config_section_type.h"
#include "config/deployment_type.h"
#include "store/object_client.h"

#include <functional>

namespace cove {

/** Outcome of a submit. */
enum class submit_verdict {
    accepted,     ///< stored as a new generation
    unchanged,    ///< identical to the newest generation; nothing was written
    conflict,     ///< another submit made a newer generation
    not_accepted, ///< certainly not stored as a generation
    not_known,    ///< may have been accepted; reading the store did not settle it
};

/** @return the name of @p verdict as printed in reports. */
char const* to_string(submit_verdict verdict);

/** A configuration to submit. */
struct submit_request {
    deployment config;
    generation base;       ///< generation that the operator's change is based on
    std::string submit_id; ///< unique id, to recognize the generation made by this submit
};

/** Result of a submit. */
struct submit_report {
    submit_verdict verdict = submit_verdict::not_accepted;
    generation number;                ///< made by the submit, or the newest one known
    std::vector<std::string> changes; ///< on conflict: changes since the base generation
    step_error error;                 ///< why it was not accepted, or why that is not known
};

/** The newest manifest and the version of its object in the store. */
struct current_manifest {
    config_manifest manifest; ///< number 0 if there is none yet
    std::uint64_t version = 0;
};

/** Reads the newest manifest from @p store. */
store_result<current_manifest> read_current(object_client& store);

/** Reads the manifest of generation @p number, the newest or an earlier one. */
store_result<config_manifest> read_generation(object_client& store, generation number);

/** Reads the sections listed in @p manifest and joins them to a configuration. */
result<deployment> read_configuration(object_client& store, config_manifest const& manifest);

/** Submits configurations to one object store. */
class submitter {
public:
    /**
     * @param store holds the configuration.
     * @param max_attempts how often a write is tried that fails but is not rejected.
     * @param pause waits between attempts.
     */
    submitter(object_client& store, int max_attempts, std::function<void()> pause);

    /** Stores @p request as the generation after its base, if the base is still the newest one. */
    submit_report submit(submit_request const& request);

private:
    result<void> write_if_absent(std::string const& name, std::string const& value);
    result<void> write_sections_and_history(std::vector<config_section> const& sections,
                                            config_manifest const& current);
    submit_report write_manifest(config_manifest const& next, std::uint64_t version);
    std::optional<submit_report> find_write_outcome(config_manifest const& next);
    submit_report conflict(generation base, config_manifest const& current);

    object_client& store_;
    int max_attempts_;
    std::function<void()> pause_;
};

} // namespace cove
