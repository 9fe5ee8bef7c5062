#pragma once
/** @file Checks the answers that callers got against the operations that targets ran. */

#include "core/ids_type.h"
#include "operation/answer_type.h"
#include "soak/soak_type.h"

#include <deque>
#include <map>
#include <set>

namespace cove {

using caller_request_id = std::uint64_t; ///< number of one request to one entry host

/** One request as sent to one entry host. */
struct audited_request {
    /** Names the operation; every request of an idempotent operation has a tag of its own. */
    std::string tag;
    bool idempotent = false;
    bool repeat = false; ///< sent after the operation had got its final answer
    bool answered = false;
    bool abandoned = false; ///< its entry host's process ended or its caller gave up
};

/** Records the events of a run and reports violated guarantees. */
class audit {
public:
    /** Adds @p word to the hash of the run, which is equal for two runs of one seed. */
    void add_to_hash(std::uint64_t word);

    /** Keeps @p line among the most recent events, which are printed with the first violation. */
    void log_event(mono_time now, std::string const& line);

    /** Records that the check named @p check failed. */
    void add_violation(std::string const& check, std::string const& detail);

    /** Makes the outcome `unknown` a violation, for runs whose faults must not cause it. */
    void forbid_unknown() { unknown_forbidden_ = true; }

    void request_sent(caller_request_id id, audited_request request);

    /** Records that request @p id no longer expects an answer. */
    void request_abandoned(caller_request_id id);

    /** Records the final answer to request @p id and checks it. */
    void request_answered(caller_request_id id, final_answer const& answer);

    /** Records that @p target ran the operation @p tag and checks that it was allowed to. */
    void operation_ran(std::string const& tag, target_id const& target);

    /** Reports every pending request as lost; called at the end of a run. */
    void check_all_answered();

    /** @return whether request @p id still expects an answer. */
    bool is_pending(caller_request_id id) const;

    /** @return the number of requests that still expect an answer. */
    std::size_t pending_count() const;

    /** @return the tag of request @p id. */
    std::string const& tag_of(caller_request_id id) const { return requests_.at(id).tag; }

    soak_outcome& outcome() { return outcome_; }

private:
    static constexpr std::size_t max_recent_events = 400;

    bool unknown_forbidden_ = false;
    std::map<caller_request_id, audited_request> requests_;
    std::map<std::string, std::vector<target_id>> runs_by_tag_;
    std::set<std::string> idempotent_tags_;
    std::map<std::string, std::string> not_run_reasons_; ///< by the tags that were answered not_run
    std::deque<std::string> recent_events_;
    soak_outcome outcome_;
};

} // namespace cove
