#include "soak/fake_targets.h"

#include <algorithm>

namespace cove {

namespace {

constexpr microseconds target_delay{300}; ///< least one-way delay; the most is twice that
constexpr milliseconds min_run_time{2};   ///< shortest run of an operation
constexpr milliseconds max_run_time{15};  ///< longest run on a target that is not slowed down
constexpr seconds leaving_grace{3};       ///< after this, a leaving target must get no new calls

} // namespace

fake_targets::fake_targets(scheduler& time, random_source& random, fleet& nodes, audit& checks)
    : time_(time), random_(random), nodes_(nodes), checks_(checks)
{
}

void fake_targets::add(target_host listed, int slots)
{
    fake_target target;
    target.listed = std::move(listed);
    target.slots = slots;
    targets_.push_back(std::move(target));
}

void fake_targets::check_not_leaving(fake_target const& target, fleet_host const& keeper)
{
    bool const settled = time_.now() - keeper.disturbed_at > leaving_grace;
    if (settled && target.leaving_known_since &&
        time_.now() - *target.leaving_known_since > leaving_grace) {
        checks_.add_violation("work_to_leaving_target",
                              target.listed.id.value + " from " + keeper.host_entry.id.value);
    }
}

void fake_targets::call(std::size_t host, call_target const& call)
{
    open_call const id{host, nodes_.hosts()[host].process_epoch, call.key};
    auto const found = std::ranges::find_if(
        targets_, [&](fake_target const& state) { return state.listed.id == call.target; });
    auto const target = static_cast<std::size_t>(found - targets_.begin());
    check_not_leaving(*found, nodes_.hosts()[host]);
    calls_.emplace(id, target);
    time_.after(random_.between(target_delay, target_delay * 2),
                [this, id, target, body = bytes_of(call.body)] { start_run(id, target, body); });
    time_.after(call.timeout, [this, id] { end_call(id, call_verdict::broken, "timeout"); });
}

void fake_targets::cancel(std::size_t host, call_key key)
{
    end_call({host, nodes_.hosts()[host].process_epoch, key}, call_verdict::broken, "cancelled");
}

void fake_targets::start_run(open_call const& id, std::size_t target, std::string const& body)
{
    fake_target& state = targets_[target];
    if (state.down || state.running >= state.slots) {
        end_call(id, call_verdict::not_started, state.down ? "refused" : "full");
        return;
    }
    ++state.running;
    checks_.operation_ran(body, state.listed.id);
    checks_.log_event(time_.now(), "run " + body + " on " + state.listed.id.value + " for " +
                                       nodes_.hosts()[id.host].host_entry.id.value);
    time_.after(random_.between(min_run_time, max_run_time) * state.slowdown_factor,
                [this, id, target, epoch = state.process_epoch, body] {
                    finish_run(id, target, epoch, body);
                });
}

void fake_targets::finish_run(open_call const& id, std::size_t target, std::uint64_t target_epoch,
                              std::string const& body)
{
    fake_target& state = targets_[target];
    if (state.process_epoch != target_epoch) {
        return;
    }
    --state.running;
    bool const lost = random_.permille(state.lost_answer_permille);
    time_.after(random_.between(target_delay, target_delay * 2), [this, id, lost, body] {
        end_call(id, lost ? call_verdict::broken : call_verdict::answered, "answer:" + body);
    });
}

void fake_targets::end_call(open_call const& id, call_verdict verdict, std::string body)
{
    if (calls_.erase(id) == 0) {
        return;
    }
    call_result ended;
    ended.key = id.key;
    ended.verdict = verdict;
    if (verdict == call_verdict::answered) {
        ended.status = 200;
        ended.body = make_payload(std::move(body));
    }
    else {
        ended.error = std::move(body);
    }
    // Delivered by a later event, never within the reduction that asked for the call.
    time_.after(microseconds(1),
                [this, id, ended] { nodes_.deliver(id.host, id.process_epoch, ended); });
}

void fake_targets::kill(std::size_t target)
{
    fake_target& state = targets_[target];
    checks_.log_event(time_.now(), "kill target " + state.listed.id.value);
    state.down = true;
    state.running = 0;
    ++state.process_epoch;
    auto const calls = calls_;
    for (auto const& [id, called_target] : calls) {
        if (called_target == target) {
            end_call(id, call_verdict::broken, "reset");
        }
    }
}

} // namespace cove
