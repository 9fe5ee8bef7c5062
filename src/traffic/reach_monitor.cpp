#include "traffic/reach_monitor.h"

#include <algorithm>

namespace cove {

namespace {

constexpr std::size_t failed_targets_to_probe = 3; ///< or all targets, if there are fewer
constexpr milliseconds quiet_time_to_probe{200};   ///< without any success
constexpr milliseconds round_interval{500};
constexpr int first_rounds_needed = 2;
constexpr int max_rounds_needed = 8;
constexpr milliseconds relapse_time{10'000}; ///< cuts that follow within it belong together
constexpr milliseconds return_time{1500};    ///< from the end of a cut until all is sent directly

} // namespace

void reach_monitor::failures::add(std::uint32_t target, mono_time now)
{
    if (targets.empty() && last_success == mono_time{}) {
        last_success = now; // nothing is known from before the first failure
    }
    if (targets.size() < failed_targets_to_probe) {
        targets.insert(target);
    }
}

void reach_monitor::failures::succeeded(mono_time now)
{
    targets.clear();
    last_success = now;
}

bool reach_monitor::failures::suspicious(std::size_t all_targets, mono_time now) const
{
    return targets.size() >= std::min(failed_targets_to_probe, all_targets) &&
           now - last_success >= quiet_time_to_probe;
}

void reach_monitor::attempt_failed(std::uint32_t target, mono_time now)
{
    answers_.add(target, now);
}

void reach_monitor::connect_failed(std::uint32_t target, mono_time now)
{
    connects_.add(target, now);
}

void reach_monitor::attempt_answered(mono_time now)
{
    answers_.succeeded(now);
    last_answer_ = now;
    received(now);
}

void reach_monitor::connected(mono_time now)
{
    connects_.succeeded(now);
}

bool reach_monitor::probes_due(std::size_t targets, mono_time now) const
{
    if (pending_ > 0 || targets == 0 || now - last_round_ < round_interval) {
        return false;
    }
    return cut_off_ || answers_.suspicious(targets, now) || connects_.suspicious(targets, now);
}

void reach_monitor::probes_started(std::size_t count, mono_time now)
{
    last_round_ = now;
    pending_ = count;
    probes_ = count;
    reached_ = 0;
    timed_out_ = 0;
}

bool reach_monitor::probe_ended(bool reached, mono_time now, bool timed_out)
{
    if (pending_ == 0) {
        return false;
    }
    reached_ += reached ? 1 : 0;
    timed_out_ += timed_out ? 1 : 0;
    --pending_;
    return pending_ == 0 && end_round(now);
}

bool reach_monitor::end_round(mono_time now)
{
    if (!cut_off_) {
        if (reached_ > 0) {
            answers_.succeeded(now);
            connects_.succeeded(now);
            return false;
        }
        if (contradicted()) {
            return false; // the suspicion stays, so that another round follows
        }
        bool const relapsed = mended_ && now - *mended_ < relapse_time;
        rounds_needed_ =
            relapsed ? std::min(2 * rounds_needed_, max_rounds_needed) : first_rounds_needed;
        good_rounds_ = 0;
        cut_off_ = true;
        return true;
    }
    good_rounds_ = 2 * reached_ > probes_ ? good_rounds_ + 1 : 0;
    if (good_rounds_ < rounds_needed_) {
        return false;
    }
    cut_off_ = false;
    mended_ = now;
    answers_.succeeded(now);
    connects_.succeeded(now);
    return true;
}

/**
 * @return whether targets are heard although no probe has reached one: new connections are late, as
 * on a full link. Refusals are no sign of that.
 */
bool reach_monitor::contradicted() const
{
    return 2 * timed_out_ > probes_ && last_received_ > last_round_;
}

probe_round reach_monitor::round(mono_time now) const
{
    auto const age = [now](mono_time at) {
        return at == mono_time{} ? std::optional<milliseconds>()
                                 : std::chrono::duration_cast<milliseconds>(now - at);
    };
    return {probes_, reached_, timed_out_, age(last_answer_), age(last_received_)};
}

double reach_monitor::relay_share(mono_time now) const
{
    if (cut_off_) {
        return 1;
    }
    using float_ms = std::chrono::duration<double, std::milli>;
    double const passed = mended_ ? float_ms(now - *mended_) / float_ms(return_time) : 1;
    return std::clamp(1 - passed, 0.0, 1.0);
}

} // namespace cove
