#pragma once
/** @file Conditional submits of a configuration to the platform. */

#include "config/config_section_type.h"
#include "config/deployment_type.h"
#include "store/object_client.h"

#include <functional>

namespace cove {

/** How a submit ended. */
enum class submit_verdict {
    accepted,     ///< it is a generation now
    unchanged,    ///< the same content was in force already
    conflict,     ///< somebody else's generation came first
    not_accepted, ///< provably without effect
    not_known,    ///< it may have been accepted; nobody could be asked
};

/** @return the word for @p verdict in reports. */
char const* to_string(submit_verdict verdict);

/** A configuration to submit. */
struct submit_request {
    deployment config;
    generation seen;       ///< that the operator's change is based on
    std::string submit_id; ///< tells this submit from all others
};

/** How a submit ended, for a person and for scripts. */
struct submit_report {
    submit_verdict verdict = submit_verdict::not_accepted;
    generation number;                ///< the submit's own, or the newest one known
    std::vector<std::string> changes; ///< after a conflict: what changed since the seen generation
    step_error error;                 ///< why it was not accepted, or is not known
};

/** The platform's newest manifest. */
struct current_manifest {
    config_manifest manifest; ///< number 0 when there is none yet
    std::uint64_t version = 0;
};

/** @return the newest manifest. @param store where it lasts. */
store_result<current_manifest> read_current(object_client& store);

/** @return the manifest of generation @p number, the newest one or an earlier one. */
store_result<config_manifest> read_generation(object_client& store, generation number);

/** @return the configuration that @p manifest names. @param store where its sections last. */
result<deployment> read_configuration(object_client& store, config_manifest const& manifest);

/** Submits configurations to one store. */
class submitter {
public:
    /**
     * @param store where the configuration lasts.
     * @param attempts how often a call whose effect is not known is followed up.
     * @param pause called between attempts.
     */
    submitter(object_client& store, int attempts, std::function<void()> pause);

    /** Makes @p request the next generation, unless another one came first. */
    submit_report submit(submit_request const& request);

private:
    result<void> write_once(std::string const& name, std::string const& value);
    result<void> write_parts(std::vector<config_section> const& sections,
                             config_manifest const& current);
    submit_report write_manifest(config_manifest const& next, std::uint64_t version);
    std::optional<submit_report> read_back(config_manifest const& next);
    submit_report conflict(generation seen, config_manifest const& current);

    object_client& store_;
    int attempts_;
    std::function<void()> pause_;
};

} // namespace cove
