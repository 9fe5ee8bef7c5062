#pragma once
/** @file A target in virtual time: slots, a bounded queue and objects that it keeps warm. */

#include "core/random.h"
#include "core/scheduler.h"
#include "traffic/traffic_event.h"

#include <deque>
#include <functional>
#include <list>
#include <set>

namespace cove {

/** Limits of an emulated target. */
struct emulated_target_limits {
    int slots = 1;
    int queue = 0;        ///< requests beyond its slots
    int warm_objects = 1; ///< the most recently handled objects stay warm
};

/** Work of one request. */
struct emulated_work {
    target_attempt attempt;
    std::string object;
    milliseconds cold_time{};
    double warm_factor = 1; ///< relative to cold_time
    mono_time deadline;     ///< the target drops the request if it has not started by then
};

/** Runs requests in its slots in the order of arrival. */
class emulated_target {
public:
    /** Receives the end of an attempt. */
    using end_handler = std::function<void(target_attempt const&, attempt_end, target_load)>;

    emulated_target(scheduler& scheduler, random_engine& random, emulated_target_limits limits,
                    end_handler on_end);

    /** Runs, queues or refuses @p work. */
    void accept(emulated_work const& work);

    /** Drops a request that is queued or running. */
    void cancel(send_id const& id);

    [[nodiscard]] int warm_runs() const { return warm_runs_; }
    [[nodiscard]] int cold_runs() const { return cold_runs_; }
    [[nodiscard]] int refused() const { return refused_; }

private:
    void start(emulated_work const& work);
    void start_queued();
    void touch(std::string const& object);
    [[nodiscard]] target_load load() const;

    scheduler& scheduler_;
    random_engine& random_;
    emulated_target_limits limits_;
    end_handler on_end_;
    std::set<send_id> running_;
    std::deque<emulated_work> queue_;
    std::list<std::string> warm_; ///< most recently handled first
    int warm_runs_ = 0;
    int cold_runs_ = 0;
    int refused_ = 0;
};

} // namespace cove
