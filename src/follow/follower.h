#pragma once
/** @file Keeps a copy of a kind of objects of the platform's store up to date. */

#include "core/backoff.h"
#include "core/time_type.h"
#include "http/loop_timers.h"
#include "traffic/target_type.h"

#include <functional>
#include <string>

namespace cove {

/** How a call of the store ended. */
enum class follow_end {
    done,         ///< what it brought was handed on
    history_gone, ///< the changes since then are no longer known: list again
    failed,       ///< refused or without an answer
};

/** The end of a call and where to go on. */
struct follow_answer {
    follow_end end = follow_end::failed;
    revision at;
    std::string detail; ///< of a failure, for the log
};

/** The calls that a follower makes; each hands on what it brings before it ends. */
struct follow_calls {
    using done = std::function<void(follow_answer)>;
    std::function<void(done)> list;
    std::function<void(revision, done)> watch;
    std::function<void()> abort; ///< ends the call under way; its done is not called
    std::function<void(bool up, std::string const& detail)> reachable; ///< when that changes
};

/** Lists once, then watches; backs off from a store that fails. */
class follower {
public:
    follower(loop_timers& timers, follow_calls calls, std::uint64_t seed);
    ~follower();
    follower(follower const&) = delete;
    follower& operator=(follower const&) = delete;
    follower(follower&&) = delete;
    follower& operator=(follower&&) = delete;

    /**
     * @param at_once list now, active or not: a host that starts amid traffic must not wait for
     * others. Otherwise the list waits until this host is to watch.
     */
    void start(bool at_once);

    /** Watches, or leaves it to others. */
    void set_active(bool active);

    /** @return whether the last call succeeded, or none was made. */
    [[nodiscard]] bool reachable() const { return up_; }

private:
    void ask();
    void on_answer(follow_answer const& answer);
    void ask_after(milliseconds wait);
    void set_reachable(bool up, std::string const& detail);

    loop_timers& timers_;
    follow_calls calls_;
    backoff waits_after_failure_;
    revision at_;
    bool active_ = false;
    bool listed_ = false;
    bool waits_ = false; ///< the first list waits until this is active
    bool up_ = true;
    bool asking_ = false;
    loop_timers::subscription next_ = 0;
};

} // namespace cove
