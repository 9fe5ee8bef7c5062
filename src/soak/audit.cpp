#include "soak/audit.h"

namespace cove {

void audit::add_to_hash(std::uint64_t word)
{
    outcome_.hash = (outcome_.hash ^ word) * 0x9E3779B97F4A7C15ULL;
    outcome_.hash ^= outcome_.hash >> 29U;
}

void audit::log_event(mono_time now, std::string const& line)
{
    recent_events_.push_back(std::to_string(now.time_since_epoch().count()) + "us " + line);
    if (recent_events_.size() > max_recent_events) {
        recent_events_.pop_front();
    }
}

void audit::add_violation(std::string const& check, std::string const& detail)
{
    if (outcome_.violations.empty()) {
        outcome_.recent_events.assign(recent_events_.begin(), recent_events_.end());
    }
    outcome_.violations.push_back(check + ": " + detail);
}

void audit::request_sent(caller_request_id id, audited_request request)
{
    if (request.idempotent) {
        idempotent_tags_.insert(request.tag);
    }
    requests_.emplace(id, std::move(request));
}

void audit::request_abandoned(caller_request_id id)
{
    requests_.at(id).abandoned = true;
}

void audit::request_answered(caller_request_id id, final_answer const& answer)
{
    audited_request& request = requests_.at(id);
    if (request.answered) {
        add_violation("answered_twice", request.tag);
    }
    request.answered = true;
    switch (answer.result) {
    case outcome::done:
        ++outcome_.done;
        if (bytes_of(answer.body) != "answer:" + request.tag) {
            add_violation("wrong_answer", request.tag + " got " + bytes_of(answer.body));
        }
        if (!runs_by_tag_.contains(request.tag)) {
            add_violation("done_without_run", request.tag);
        }
        return;
    case outcome::not_run:
        ++outcome_.not_run;
        not_run_reasons_.emplace(request.tag,
                                 answer.step + " [" + answer.peer + "]: " + answer.reason);
        if (runs_by_tag_.contains(request.tag)) {
            add_violation("false_not_run", request.tag + " at " + not_run_reasons_[request.tag]);
        }
        return;
    case outcome::unknown:
        ++outcome_.unknown;
        if (unknown_forbidden_ && !request.repeat) {
            add_violation("cut_off", request.tag + " unknown at " + answer.step + " [" +
                                         answer.peer + "]: " + answer.reason);
        }
        return;
    }
}

void audit::operation_ran(std::string const& tag, target_id const& target)
{
    auto& runs = runs_by_tag_[tag];
    runs.push_back(target);
    if (runs.size() == 2 && !idempotent_tags_.contains(tag)) {
        add_violation("doubled", tag + " on " + runs[0].value + " and " + runs[1].value);
    }
    if (not_run_reasons_.contains(tag)) {
        add_violation("false_not_run", tag + " ran after " + not_run_reasons_[tag]);
    }
}

void audit::check_all_answered()
{
    for (auto const& [id, request] : requests_) {
        if (!request.answered && !request.abandoned) {
            add_violation("lost", request.tag);
        }
    }
}

bool audit::is_pending(caller_request_id id) const
{
    audited_request const& request = requests_.at(id);
    return !request.answered && !request.abandoned;
}

std::size_t audit::pending_count() const
{
    std::size_t count = 0;
    for (auto const& [id, request] : requests_) {
        count += !request.answered && !request.abandoned ? 1 : 0;
    }
    return count;
}

} // namespace cove
