#include "traffic/target_state.h"

#include "core/hash_func.h"

#include <algorithm>
#include <cmath>

namespace cove {

namespace {

constexpr milliseconds unreported_half_life{400}; ///< by then, other hosts have reported them
constexpr milliseconds slowness_half_life{2000};  ///< how soon a slow target is tried again
constexpr milliseconds failures_half_life{2000};  ///< how soon a failing target is tried again
/// After this time without answers half of what the target has reported of its machine counts.
constexpr milliseconds reported_slowness_half_life{1000};
constexpr double unreported_weight = 0.5;
constexpr double slowness_weight = 0.3;
/// The figure changes many times a second; a mean over about three answers follows its trend.
constexpr double reported_slowness_weight = 0.3;
constexpr double failures_weight = 0.2;
constexpr double max_slowness = 20;          ///< a target this slow gets no requests anyway
constexpr double min_slowness = 0.05;        ///< a lower figure is taken for a fault of the target
constexpr double overdue_factor = 4;         ///< answers that are this late are mostly lost
constexpr double overdue_floor_ms = 250;     ///< shorter delays are common on a busy host
constexpr milliseconds initial_backoff{200}; ///< wait after the first failed connection
constexpr milliseconds max_backoff{1000};
/// Wait after a refusal, about the time until one of the requests at the target ends.
constexpr milliseconds refusal_backoff{30};
constexpr milliseconds max_pause{600'000};  ///< a longer one is taken for a fault of the target
constexpr milliseconds trial_interval{400}; ///< between trial requests to a silent target
/// Share of the slots. A target that refuses a request at a lower load is faulty, so the refusal
/// counts as a failure.
constexpr double busy_share = 0.75;
constexpr milliseconds one_second{1000};
/// How long the other hosts are told that a limit has ended. Those without a part of it get no
/// answer of the target that would tell them.
constexpr milliseconds ended_limit_report_time{5000};
/// A target without requests for this long is idle: too little is known about its state to rely on
/// it when others fail.
constexpr milliseconds idle_time{1500};

} // namespace

decaying_value::decaying_value(double resting, milliseconds half_life, double weight)
    : resting_(resting), half_life_(half_life), weight_(weight), value_(resting)
{
}

void decaying_value::add(double sample, mono_time now)
{
    double const current = at(now);
    value_ = current + weight_ * (sample - current);
    since_ = now;
}

void decaying_value::set(double value, mono_time now)
{
    value_ = value;
    since_ = now;
}

double decaying_value::at(mono_time now) const
{
    using float_ms = std::chrono::duration<double, std::milli>;
    double const age = float_ms(now - since_).count() / static_cast<double>(half_life_.count());
    return resting_ + (value_ - resting_) * std::exp2(-std::max(0.0, age));
}

target_state::target_state(target_entry entry, mono_time now)
    : entry_(std::move(entry)), id_hash_(stable_hash(entry_.id.value)),
      unreported_(0, unreported_half_life, unreported_weight),
      slowness_(1, slowness_half_life, slowness_weight),
      reported_slowness_(1, reported_slowness_half_life, reported_slowness_weight),
      failure_rate_(0, failures_half_life, failures_weight), sent_last_second_(one_second),
      cold_until_(now + entry_.cold_left)
{
}

void target_state::update(target_entry entry, mono_time now)
{
    bool const restarted = entry.incarnation != entry_.incarnation;
    bool const moved = entry.address != entry_.address;
    if (restarted || moved) {
        objects_.clear();
        address_reused_ = false;
        said_leaving_ = false;
        resume_at_ = now;
        reconnect_at_ = now;
        backoff_ = milliseconds{0};
        limit_ = {};
        limit_from_answer_ = false;
    }
    if (entry.cold_left > milliseconds{0}) {
        if (!cold(now)) {
            objects_.clear();
        }
        cold_until_ = std::max(cold_until_, now + entry.cold_left);
    }
    entry_ = std::move(entry);
}

void target_state::assume_cold(milliseconds period, mono_time now)
{
    cold_until_ = std::max(cold_until_, now + period);
}

bool target_state::accepts(mono_time now) const
{
    return !leaving() && !address_reused_ && now >= resume_at_ && now >= reconnect_at_;
}

milliseconds target_state::pause_left(mono_time now) const
{
    return std::chrono::ceil<milliseconds>(
        std::max(std::max(resume_at_, reconnect_at_) - now, mono_time::duration{0}));
}

bool target_state::silent(mono_time now) const
{
    return std::any_of(running_.begin(), running_.end(), [this, now](auto const& item) {
        auto const& attempt = item.second;
        auto const overdue_ms = std::max(overdue_floor_ms, overdue_factor * attempt.expected_ms);
        return attempt.sent > last_answer_ &&
               now - attempt.sent > milliseconds(static_cast<std::int64_t>(overdue_ms));
    });
}

bool target_state::idle(mono_time now) const
{
    return now - last_sent_ > idle_time;
}

bool target_state::can_send(send_rates const& rates, mono_time now)
{
    if (!accepts(now) || full(now)) {
        return false;
    }
    if (cold(now) && static_cast<double>(sent_last_second_.count(now)) + 1 > rates.cold) {
        return false;
    }
    if (limit_.limit && !paced_.ready(rates.limit, now)) {
        return false;
    }
    if (silent(now)) {
        bool const trial_pending =
            std::any_of(running_.begin(), running_.end(), [now](auto const& item) {
                return now - item.second.sent < trial_interval;
            });
        return !trial_pending;
    }
    return true;
}

double target_state::slowness(mono_time now) const
{
    return std::min(slowness_.at(now) * reported_slowness_.at(now), max_slowness);
}

int target_state::own_load(mono_time now) const
{
    int count = 0;
    for (auto const& [id, attempt] : running_) {
        auto const overdue_ms = std::max(overdue_floor_ms, overdue_factor * attempt.expected_ms);
        if (now - attempt.sent <= milliseconds(static_cast<std::int64_t>(overdue_ms))) {
            ++count;
        }
    }
    return count;
}

double target_state::load(mono_time now) const
{
    return own_load(now) + std::max(0.0, peers_running_ + unreported_.at(now));
}

void target_state::attempt_sent(send_id const& id, object_key const& object, double expected_ms,
                                mono_time now)
{
    running_[id] = {now, expected_ms};
    sent_last_second_.add(now);
    paced_.sent(now);
    last_sent_ = now;
    if (!object.value.empty()) {
        objects_.touch(object);
    }
}

void target_state::record_load(target_load const& load, mono_time now)
{
    double const all = load.running + load.waiting;
    unreported_.add(all - own_load(now) - peers_running_, now);
    if (load.slowness) {
        reported_slowness_.add(std::clamp(*load.slowness, min_slowness, max_slowness), now);
    }
}

void target_state::record_limit(std::optional<double> limit, mono_time now)
{
    if (limit || limit_.limit) {
        limit_ = {limit, now};
        limit_from_answer_ = true;
    }
}

void target_state::limit_reported(rate_limit_notice const& reported)
{
    if (reported.heard > limit_.heard) {
        limit_ = reported;
        limit_from_answer_ = false;
    }
}

std::optional<rate_limit_notice> target_state::limit_to_report(mono_time now) const
{
    bool const ended = !limit_.limit && now - limit_.heard > ended_limit_report_time;
    return limit_from_answer_ && !ended ? std::optional(limit_) : std::nullopt;
}

void target_state::peers_running(int count, mono_time now)
{
    double const before = unreported_.at(now);
    double const change = count - peers_running_;
    peers_running_ = count;
    // Part of the unreported load now appears in the reports of peers; do not count it twice.
    if (before > 0 && change > 0) {
        unreported_.set(std::max(0.0, before - change), now);
    }
    else if (before < 0 && change < 0) {
        unreported_.set(std::min(0.0, before - change), now);
    }
}

/** Leaves the target alone for a while, longer with each call, as it takes no connections. */
void target_state::back_off(mono_time now)
{
    backoff_ = std::clamp(backoff_ * 2, initial_backoff, max_backoff);
    reconnect_at_ = now + backoff_;
}

void target_state::forgive(mono_time now)
{
    backoff_ = milliseconds{0};
    reconnect_at_ = now;
    assumed_cold_until_ = now;
    failure_rate_.set(0, now);
    slowness_.set(1, now);
}

void target_state::attempt_ended(cove::attempt_ended const& event, std::optional<double> time_ratio,
                                 milliseconds cold_period, mono_time now)
{
    running_.erase(event.attempt.id);
    auto const reported_before = reported_slowness_.at(now);
    if (event.load) {
        record_load(*event.load, now);
    }
    if (event.notice) {
        record_limit(event.notice->limit, now);
        said_leaving_ = said_leaving_ || event.notice->leaving;
        resume_at_ = std::max(resume_at_, now + std::min(event.notice->pause, max_pause));
    }
    if (event.target_ended) {
        failure_rate_.add(1, now);
        if (now >= reconnect_at_) { // all requests at the target break at once
            back_off(now);
            assumed_cold_until_ = now + cold_period + backoff_;
        }
        return;
    }
    bool const was_busy = load(now) >= busy_share * entry_.slots;
    bool const asks_for_pause = event.notice && event.notice->pause > milliseconds{0};
    switch (event.end) {
    case attempt_end::succeeded:
        if (time_ratio) {
            slowness_.add(std::min(*time_ratio / reported_before, max_slowness), now);
        }
        failure_rate_.add(0, now);
        break;
    case attempt_end::failed:
        failure_rate_.add(1, now);
        break;
    case attempt_end::refused:
        failure_rate_.add(was_busy || asks_for_pause ? 0 : 1, now);
        resume_at_ = std::max(resume_at_, now + refusal_backoff);
        break;
    case attempt_end::wrong_target:
        address_reused_ = true;
        break;
    case attempt_end::broken:
        failure_rate_.add(1, now);
        break;
    case attempt_end::not_connected:
        back_off(now);
        if (!event.connect_timed_out) { // it may have restarted under the same id
            assumed_cold_until_ = now + cold_period + backoff_;
        }
        return;
    }
    last_answer_ = now;
    backoff_ = milliseconds{0};
}

} // namespace cove
