#include "follow/follower.h"

#include <algorithm>

namespace cove {

namespace {

/// Changes come in series; each watch brings all that came meanwhile, and each call is paid for.
constexpr milliseconds gather_time{150};
constexpr milliseconds first_wait{200};    ///< after a failure
constexpr milliseconds longest_wait{1000}; ///< the promises bind again seconds after an outage

} // namespace

follower::follower(loop_timers& timers, follow_calls calls, std::uint64_t seed)
    : timers_(timers), calls_(std::move(calls)),
      waits_after_failure_(first_wait, longest_wait, seed)
{
}

follower::~follower()
{
    timers_.cancel(next_);
}

void follower::start(bool at_once)
{
    waits_ = !at_once;
    if (at_once) {
        ask();
    }
}

void follower::set_active(bool active)
{
    if (active == active_) {
        return;
    }
    active_ = active;
    if (!listed_) {
        if (active && waits_) {
            waits_ = false;
            ask();
        }
        return; // otherwise the list is under way, or is tried again
    }
    timers_.cancel(next_);
    if (active) {
        ask();
    }
    else if (asking_) {
        calls_.abort();
        asking_ = false;
    }
}

void follower::ask()
{
    asking_ = true;
    auto const done = [this](follow_answer const& answer) {
        asking_ = false;
        on_answer(answer);
    };
    if (listed_) {
        calls_.watch(at_, done);
    }
    else {
        calls_.list(done);
    }
}

void follower::on_answer(follow_answer const& answer)
{
    switch (answer.end) {
    case follow_end::done:
        waits_after_failure_.succeeded();
        set_reachable(true, "");
        at_ = std::max(at_, answer.at);
        listed_ = true;
        if (active_) {
            ask_after(gather_time);
        }
        break;
    case follow_end::history_gone:
        listed_ = false;
        ask();
        break;
    case follow_end::failed:
        set_reachable(false, answer.detail);
        ask_after(waits_after_failure_.failed());
        break;
    }
}

void follower::ask_after(milliseconds wait)
{
    next_ = timers_.once(read_clocks().mono + wait, [this] { ask(); });
}

void follower::set_reachable(bool up, std::string const& detail)
{
    if (up != up_) {
        up_ = up;
        calls_.reachable(up, detail);
    }
}

} // namespace cove
