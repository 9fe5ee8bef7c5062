#pragma once
/** @file Keeps a local copy of one kind of the platform store's objects up to date. */

#include "core/backoff.h"
#include "core/store_position_type.h"
#include "core/time_type.h"
#include "follow/watch_timing.h"
#include "http/loop_timers.h"

#include <functional>
#include <optional>
#include <string>

namespace cove {

/** How a call to the store ended. */
enum class follow_status {
    done,            ///< the objects or changes were delivered
    history_expired, ///< the store no longer has the changes since that revision: list again
    failed,          ///< error response or no response
};

/** Whether the store may answer with data that is seconds old; such calls cost a tenth. */
enum class read_freshness { current, may_be_stale };

/** The outcome of a call and the position to continue from. */
struct follow_result {
    follow_status status = follow_status::failed;
    store_position at;       ///< only the era, if the call was not done; that may be unknown
    std::string detail;      ///< reason of a failure, for the log
    bool changed = false;    ///< a watch returned changes
    bool unreadable = false; ///< the newest state of an object could not be read, now or before
};

/** The calls that a follower makes; each delivers its objects or changes before it calls done. */
struct follow_calls {
    using done = std::function<void(follow_result)>;
    std::function<void(read_freshness, done)> list;
    /// Waits for changes after the position.
    std::function<void(store_position, watch_times, done)> watch;
    std::function<void()> abort; ///< cancels the pending call; its done is not called
    std::function<void(bool up, std::string const& detail)> reachable; ///< on each change
    /// The copy has every change that the store acknowledged before that moment; the era is that of
    /// the answer which proves it. Called after the changes were delivered.
    std::function<void(boot_time, store_era)> proved = nullptr;
    std::function<void(std::string const& evidence)> doubted = nullptr; ///< on each doubt
};

/**
 * Lists all objects once, then watches for changes; retries failed calls with backoff. Lists again
 * in each new era of the store.
 */
class follower {
public:
    follower(loop_timers& timers, follow_calls calls, std::uint64_t seed);
    ~follower();
    follower(follower const&) = delete;
    follower& operator=(follower const&) = delete;
    follower(follower&&) = delete;
    follower& operator=(follower&&) = delete;

    /**
     * @param list_now whether to list at once even if inactive, for a host that starts while there
     * is traffic and must not wait for its peers. Otherwise the list call waits for
     * set_active(true).
     * @param first_list freshness of the first list if the host does not watch yet. What has
     * changed since comes from its peers, or from the watch that continues at the revision of the
     * list.
     */
    void start(bool list_now, read_freshness first_list = read_freshness::current);

    /**
     * Tells that peers have delivered the objects. While inactive, a list call that has failed is
     * then not repeated before set_active(true), so that an outage of the store causes no storm of
     * calls from restarted hosts.
     */
    void delivered_by_peers();

    /** Tells that the store has come back in @p era; lists at once if active. */
    void enter_era(store_era era);

    /** Starts or stops watching. While inactive, changes come from peers instead. */
    void set_active(bool active);

    /**
     * Sets the pause before the next watch. Changes come in bursts and a watch returns all changes
     * since the last one, so a longer pause saves calls, each of which is charged.
     */
    void set_batch_delay(milliseconds delay) { batch_delay_ = delay; }

    /**
     * Sets the bound on the time until a watch without an answer is replaced; each watch is
     * charged. A pending watch that would take longer is replaced at once.
     */
    void set_silence_max(milliseconds silence_max);

    /** Replaces a pending watch by one that the store answers at once, to prove the copy new. */
    void watch_without_wait();

    /**
     * Tells that a peer has a change that the store should have delivered by now. The next watch,
     * or the one that is under way, asks at once over a new connection; if that is not answered
     * within one time-out, the store is lost. At most once in doubt_interval, because calls are
     * charged.
     * @param evidence for the log.
     */
    void doubt(std::string const& evidence);

    /**
     * Tells that a peer has delivered a change that is news to this host. The store is doubted if
     * it does not answer a watch soon, which would deliver the change as well.
     */
    void expect_answer();

    /** @return whether the last call succeeded; true before the first one has ended. */
    [[nodiscard]] bool reachable() const { return reachable_; }

    /** @return when the last successful call ended; the construction time before the first one. */
    [[nodiscard]] mono_time last_answer() const { return last_answer_; }

    static constexpr milliseconds default_batch_delay{150};
    /// How much later than a peer's push a watch may deliver the same change.
    static constexpr milliseconds answer_grace{300};
    static constexpr milliseconds doubt_interval{3000};

private:
    void call_store();
    void on_answer(follow_result const& answer, bool watched);
    void on_data(store_position at, bool watched);
    void report_proof(follow_result const& answer, bool watched, milliseconds elapsed) const;
    void schedule_call(milliseconds wait);
    void forget_doubt();
    void set_reachable(bool up, std::string const& detail);

    loop_timers& timers_;
    follow_calls calls_;
    backoff retry_delays_;
    milliseconds batch_delay_ = default_batch_delay;
    watch_timing timing_;
    watch_times times_;                                       ///< of the last watch
    mono_time call_started_{};                                ///< of the last call
    boot_time call_started_boot_{};                           ///< the same moment
    read_freshness list_freshness_ = read_freshness::current; ///< of the last list
    bool without_wait_ = false;                               ///< the next watch is not to wait
    store_position at_;                                       ///< of the copy
    store_era era_;                                           ///< latest one known
    bool active_ = false;
    bool listed_ = false;
    read_freshness next_list_ = read_freshness::current;
    bool list_deferred_ = false; ///< the first list call waits for set_active(true)
    bool reachable_ = true;
    bool unanswered_ = false; ///< the last watch heard nothing in all of its time
    bool doubted_ = false;    ///< one time-out of the next watch, or the one under way, is a loss
    std::optional<mono_time> last_doubt_;
    loop_timers::subscription answer_check_ = 0; ///< set while an answer is expected
    bool call_pending_ = false;
    mono_time last_answer_;
    loop_timers::subscription next_call_ = 0;
};

} // namespace cove
