#pragma once
/** @file What this host knows about one target: load, speed, failures and warm objects. */

#include "traffic/rate_window.h"
#include "traffic/service_time.h"
#include "traffic/shared_rate.h"
#include "traffic/target_type.h"
#include "traffic/traffic_event.h"
#include "traffic/warm_objects.h"

#include <map>

namespace cove {

/** A moving average that decays exponentially to a resting value while it gets no samples. */
class decaying_value {
public:
    decaying_value(double resting, milliseconds half_life, double weight);

    /** Moves the value towards @p sample. */
    void add(double sample, mono_time now);
    [[nodiscard]] double at(mono_time now) const;

    void set(double value, mono_time now);

private:
    double resting_;
    milliseconds half_life_;
    double weight_;
    double value_;
    mono_time since_{};
};

/** An attempt in progress. */
struct running_attempt {
    mono_time sent;
    double expected_ms = 0;
};

/** Requests per second that this host may send to a target. */
struct send_rates {
    double cold = 0;  ///< while the target is cold
    double limit = 0; ///< while the target names a limit
};

/** State of one target as seen by this host. */
class target_state {
public:
    target_state(target_entry entry, mono_time now);

    [[nodiscard]] target_entry const& entry() const { return entry_; }

    /** @return a hash of the target id that is the same on every host. */
    [[nodiscard]] std::uint64_t id_hash() const { return id_hash_; }

    /** @return the low 32 bits of id_hash(); identifies the target in messages between hosts. */
    [[nodiscard]] std::uint32_t short_hash() const { return static_cast<std::uint32_t>(id_hash_); }

    /** Replaces the entry; a restart or a new address resets the learned state. */
    void update(target_entry entry, mono_time now);

    /** Treats the target as cold for @p period, as it may have restarted unnoticed. */
    void assume_cold(milliseconds period, mono_time now);

    [[nodiscard]] bool cold(mono_time now) const
    {
        return now < cold_until_ || now < assumed_cold_until_;
    }

    /** Forgets failures that were not the target's, as this host was cut off from all targets. */
    void forgive(mono_time now);

    /** @return whether the target shuts down, by the list of targets or by its own answers. */
    [[nodiscard]] bool leaving() const
    {
        return said_leaving_ || entry_.phase == target_phase::leaving;
    }

    /** Notes that the target itself has said, at any time of this incarnation, that it leaves. */
    void set_said_leaving() { said_leaving_ = true; }

    /** @return whether the target can get new requests at all. */
    [[nodiscard]] bool accepts(mono_time now) const;

    /** @return how long the target still wants no requests; zero if it takes them. */
    [[nodiscard]] milliseconds pause_left(mono_time now) const;

    /** @return whether an attempt is overdue and the target has not answered since it was sent. */
    [[nodiscard]] bool silent(mono_time now) const;

    /**
     * @param rates the parts of this host of the target's rates.
     * @return whether this host may send one more request to the target now.
     */
    [[nodiscard]] bool can_send(send_rates const& rates, mono_time now);

    /** @return the limit that the target names, in requests per second; nullopt if none. */
    [[nodiscard]] std::optional<double> limit() const { return limit_.limit; }

    /** Takes over what the target has named to another host, if that was later. */
    void limit_reported(rate_limit_notice const& reported);

    /**
     * @return what to report to the other hosts of the zone; nullopt if no answer to this host has
     * named a limit, or the limit ended long ago.
     */
    [[nodiscard]] std::optional<rate_limit_notice> limit_to_report(mono_time now) const;

    /** @return whether all slots are in use, as far as this host knows. */
    [[nodiscard]] bool full(mono_time now) const { return load(now) >= entry_.slots; }

    /** @return the requests of this host that run at the target, without overdue ones. */
    [[nodiscard]] int own_load(mono_time now) const;

    /** Sets the number of requests that the other hosts of the zone report for the target. */
    void peers_running(int count, mono_time now);

    /** @return running and queued requests at the target; those of other hosts as last reported. */
    [[nodiscard]] double load(mono_time now) const;

    /** @return whether this host has sent no request to the target recently. */
    [[nodiscard]] bool idle(mono_time now) const;

    /**
     * @return service time relative to the expected one, by measured times and by what the target
     * reports of its machine; 1 is normal.
     */
    [[nodiscard]] double slowness(mono_time now) const;

    /** @return share of recent attempts that failed, 0 to 1. */
    [[nodiscard]] double failure_rate(mono_time now) const { return failure_rate_.at(now); }

    /** @return how many requests ago this host sent @p object to the target; nullopt if never. */
    [[nodiscard]] std::optional<std::uint64_t> object_age(object_key const& object) const
    {
        return objects_.age(object);
    }

    void attempt_sent(send_id const& id, object_key const& object, double expected_ms,
                      mono_time now);

    /**
     * Updates load, speed and failure statistics after an attempt.
     * @param time_ratio observed service time divided by the one expected at a slowness of 1;
     * nullopt if unknown.
     */
    void attempt_ended(attempt_ended const& event, std::optional<double> time_ratio,
                       milliseconds cold_period, mono_time now);

    /** Removes a cancelled attempt. */
    void attempt_cancelled(send_id const& id) { running_.erase(id); }

private:
    void back_off(mono_time now);
    void record_load(target_load const& load, mono_time now);
    void record_limit(std::optional<double> limit, mono_time now);

    target_entry entry_;
    std::uint64_t id_hash_;
    std::map<send_id, running_attempt> running_;
    int peers_running_ = 0;     ///< requests of the other hosts of the zone, by their reports
    decaying_value unreported_; ///< load shown by answers of the target minus known requests
    decaying_value slowness_;   ///< measured, beyond the reported one
    decaying_value reported_slowness_; ///< short mean of what the target reports of its machine
    decaying_value failure_rate_;
    rate_window sent_last_second_;
    rate_limit_notice limit_;
    bool limit_from_answer_ = false; ///< the target itself told this host
    paced_rate paced_;               ///< requests while the target names a limit
    warm_objects objects_;
    mono_time cold_until_{};
    mono_time assumed_cold_until_{}; ///< as it refused connections
    mono_time resume_at_{};          ///< no new requests before this time, by its own answers
    mono_time reconnect_at_{};       ///< no new requests before this time, as it did not connect
    mono_time last_sent_{};
    mono_time last_answer_{};     ///< last sign of life: end of an attempt that reached the target
    milliseconds backoff_{};      ///< current wait after failed connections
    bool said_leaving_ = false;   ///< in an answer; holds until the target restarts
    bool address_reused_ = false; ///< its address now belongs to another target
};

} // namespace cove
