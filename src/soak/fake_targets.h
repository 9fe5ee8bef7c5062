#pragma once
/** @file Targets that run operations and can be killed, slow, leaving or lose answers. */

#include "soak/fleet.h"

namespace cove {

/** One target and its current faults. */
struct fake_target {
    target_host listed;
    int slots = 1;
    int running = 0;
    std::uint64_t process_epoch = 0; ///< changes when the process is killed
    bool down = false;
    int slowdown_factor = 1;                ///< multiplies the run time of an operation
    std::uint64_t lost_answer_permille = 0; ///< thousandths of the runs whose answer is lost
    /** When the first entry host of its zone learned that it is leaving. */
    std::optional<mono_time> leaving_known_since{};
};

/** All targets of a run. */
class fake_targets {
public:
    fake_targets(scheduler& time, random_source& random, fleet& nodes, audit& checks);

    void add(target_host listed, int slots);

    /** Handles a call from the running process of entry host @p host. */
    void call(std::size_t host, call_target const& call);

    /** Breaks the connection of a call; the target may still run the operation. */
    void cancel(std::size_t host, call_key key);

    /** Kills the process of a target, which breaks its calls. */
    void kill(std::size_t target);

    std::vector<fake_target>& targets() { return targets_; }

private:
    /** Identifies a call of one process of an entry host. */
    struct open_call {
        std::size_t host;
        std::uint64_t process_epoch;
        call_key key;
        auto operator<=>(open_call const&) const = default;
    };

    void start_run(open_call const& id, std::size_t target, std::string const& body);
    void finish_run(open_call const& id, std::size_t target, std::uint64_t target_epoch,
                    std::string const& body);
    void end_call(open_call const& id, call_verdict verdict, std::string body);
    void check_not_leaving(fake_target const& target, fleet_host const& keeper);

    scheduler& time_;
    random_source& random_;
    fleet& nodes_;
    audit& checks_;
    std::vector<fake_target> targets_;
    std::map<open_call, std::size_t> calls_; ///< target index by call without a result
};

} // namespace cove
