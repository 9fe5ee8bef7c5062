#include "follow/follower.h"

#include <algorithm>
#include <utility>

namespace cove {

namespace {

constexpr milliseconds first_retry_delay{200};
/// Short, because the guarantees must hold again within seconds after an outage of the store.
constexpr milliseconds max_retry_delay{1000};

} // namespace

follower::follower(loop_timers& timers, follow_calls calls, std::uint64_t seed)
    : timers_(timers), calls_(std::move(calls)),
      retry_delays_(first_retry_delay, max_retry_delay, seed), last_answer_(read_clocks().mono)
{
}

follower::~follower()
{
    timers_.cancel(next_call_);
    timers_.cancel(answer_check_);
}

void follower::start(bool list_now, read_freshness first_list)
{
    next_list_ = active_ ? read_freshness::current : first_list;
    list_deferred_ = !list_now;
    if (list_now) {
        call_store();
    }
}

void follower::delivered_by_peers()
{
    if (listed_ || active_ || list_deferred_ || reachable_) {
        return;
    }
    timers_.cancel(next_call_);
    if (call_pending_) {
        calls_.abort();
        call_pending_ = false;
    }
    list_deferred_ = true;
}

void follower::enter_era(store_era era)
{
    era_ = std::max(era_, era);
    if (!listed_ || at_.era >= era_) {
        return; // a list is under way or deferred, or the copy is of that era already
    }
    listed_ = false;
    timers_.cancel(next_call_);
    if (call_pending_) {
        calls_.abort();
        call_pending_ = false;
    }
    list_deferred_ = !active_;
    if (active_) {
        call_store();
    }
}

void follower::set_silence_max(milliseconds silence_max)
{
    bool const shorter = silence_max < timing_.silence_max();
    timing_.set_silence_max(silence_max);
    bool const watching = call_pending_ && listed_;
    if (shorter && watching && times_.wait + times_.timeout > silence_max) {
        calls_.abort();
        call_store();
    }
}

void follower::watch_without_wait()
{
    bool const waiting = call_pending_ && listed_ && times_.wait > milliseconds{0};
    if (waiting) {
        calls_.abort();
        without_wait_ = true;
        call_store();
    }
}

void follower::doubt(std::string const& evidence)
{
    mono_time const now = read_clocks().mono;
    bool const doubted_lately = last_doubt_ && now - *last_doubt_ < doubt_interval;
    if (!active_ || !listed_ || !reachable_ || doubted_lately) {
        return; // a failed list is a loss in any case
    }
    last_doubt_ = now;
    doubted_ = true;
    if (calls_.doubted) {
        calls_.doubted(evidence);
    }
    if (call_pending_) {
        watch_without_wait();
        return;
    }
    calls_.abort(); // closes the idle connection
    without_wait_ = true;
}

void follower::expect_answer()
{
    if (!active_ || !listed_ || !reachable_ || answer_check_ != 0) {
        return;
    }
    mono_time const now = read_clocks().mono;
    answer_check_ = timers_.once(now + batch_delay_ + answer_grace, [this, now] {
        answer_check_ = 0;
        if (last_answer_ < now) {
            doubt("delivered by a peer");
        }
    });
}

void follower::forget_doubt()
{
    doubted_ = false;
    without_wait_ = false;
    timers_.cancel(std::exchange(answer_check_, 0));
}

void follower::set_active(bool active)
{
    if (active == active_) {
        return;
    }
    active_ = active;
    forget_doubt();
    if (active) {
        next_list_ = read_freshness::current;
    }
    if (!listed_) {
        if (active && list_deferred_) {
            list_deferred_ = false;
            call_store();
        }
        return; // otherwise a list call is pending or scheduled
    }
    timers_.cancel(next_call_);
    if (active) {
        call_store();
    }
    else if (call_pending_) {
        calls_.abort();
        call_pending_ = false;
    }
}

void follower::call_store()
{
    call_pending_ = true;
    call_started_ = read_clocks().mono;
    call_started_boot_ = read_boot_clock();
    times_ = {};
    auto const done = [this, watched = listed_](follow_result const& answer) {
        call_pending_ = false;
        on_answer(answer, watched);
    };
    if (listed_) {
        // After a failure, an answer without delay tells that the store is back.
        bool const at_once = std::exchange(without_wait_, false) || !reachable_ || unanswered_;
        times_ = at_once ? watch_times{milliseconds{0}, watch_timing::max_timeout} : timing_.next();
        calls_.watch(at_, times_, done);
    }
    else {
        list_freshness_ = next_list_;
        calls_.list(next_list_, done);
    }
}

/** @param watched whether it is the answer to a watch, as opposed to a list. */
void follower::on_answer(follow_result const& answer, bool watched)
{
    bool const doubted = std::exchange(doubted_, false);
    era_ = std::max(era_, answer.at.era);
    if (at_.era < era_) {
        listed_ = false; // the copy is of an earlier era
    }
    auto const elapsed =
        std::chrono::duration_cast<milliseconds>(read_clocks().mono - call_started_);
    switch (answer.status) {
    case follow_status::done:
        unanswered_ = false;
        set_reachable(true, "");
        last_answer_ = read_clocks().mono;
        if (elapsed >= times_.wait) { // else a change ended the wait
            timing_.add_answer(elapsed - times_.wait);
        }
        on_data(answer.at, watched);
        report_proof(answer, watched, elapsed);
        break;
    case follow_status::history_expired:
        unanswered_ = false;
        listed_ = false;
        call_store();
        break;
    case follow_status::failed:
        // A watch that heard nothing in all of its time may only have lost its connection; not if
        // it was doubted, as its connection was new.
        if (watched && reachable_ && !unanswered_ && !doubted &&
            elapsed >= times_.wait + times_.timeout) {
            unanswered_ = true;
            call_store();
            break;
        }
        unanswered_ = false;
        set_reachable(false, answer.detail);
        schedule_call(retry_delays_.next_delay());
        break;
    }
}

/**
 * Reports up to which moment a successful call proves the copy to be new. A watch that returned
 * nothing proves the end of its wait, provided that the wait has passed on this host's clock too.
 */
void follower::report_proof(follow_result const& answer, bool watched, milliseconds elapsed) const
{
    // on_data() has not taken an answer that leaves listed_ false or names an earlier era.
    bool const taken = listed_ && answer.at.era >= era_;
    bool const current = watched || list_freshness_ == read_freshness::current;
    if (!calls_.proved || !taken || !current || answer.unreadable) {
        return;
    }
    bool const waited = watched && !answer.changed && elapsed >= times_.wait;
    calls_.proved(call_started_boot_ + (waited ? times_.wait : milliseconds{0}), answer.at.era);
}

void follower::on_data(store_position at, bool watched)
{
    if (at.era < era_) { // sent before the store went back
        schedule_call(retry_delays_.next_delay());
        return;
    }
    retry_delays_.reset();
    if (watched && !listed_) { // changes of a later era, which do not follow on from the copy
        call_store();
        return;
    }
    at_ = watched ? std::max(at_, at) : at;
    listed_ = true;
    next_list_ = read_freshness::current;
    if (active_) {
        schedule_call(batch_delay_);
    }
}

void follower::schedule_call(milliseconds delay)
{
    next_call_ = timers_.once(read_clocks().mono + delay, [this] { call_store(); });
}

void follower::set_reachable(bool up, std::string const& detail)
{
    if (up != reachable_) {
        reachable_ = up;
        calls_.reachable(up, detail);
    }
}

} // namespace cove
