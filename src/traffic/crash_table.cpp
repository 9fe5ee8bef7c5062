#include "traffic/crash_table.h"

#include <algorithm>

namespace cove {

namespace {

/// Ends of different incarnations that block a request. With fewer, requests that ran beside a
/// fatal one twice would be blocked as well.
constexpr std::size_t ends_to_block = 3;
/// A request that was completed within this time does not end targets.
constexpr milliseconds acquittal_time{5000};
constexpr std::size_t max_completions = 4096; ///< remembered for acquittal_time, 200 KB
constexpr std::size_t max_ends = 8;           ///< per record
constexpr std::size_t max_records = 512;      ///< more than run at the targets of a rack that fails

} // namespace

std::size_t crash_table::record::counted() const
{
    return static_cast<std::size_t>(std::count_if(
        ends.begin(), ends.end(), [](target_end const& end) { return !end.acquitted; }));
}

void crash_table::set_retention(milliseconds retention, mono_time now)
{
    retention_ = retention;
    expire(now);
}

void crash_table::expire(mono_time now)
{
    std::erase_if(records_, [this, now](auto const& item) {
        return now - item.second.last_end >= retention_;
    });
}

crash_table::record& crash_table::find_or_add(request_fingerprint request, mono_time now)
{
    expire(now);
    if (records_.size() >= max_records && !records_.contains(request)) {
        records_.erase(
            std::min_element(records_.begin(), records_.end(), [](auto const& a, auto const& b) {
                return std::pair(a.second.counted(), a.second.last_end) <
                       std::pair(b.second.counted(), b.second.last_end);
            }));
    }
    return records_[request];
}

/** Adds an end or its acquittal. @return whether the record has changed. */
bool crash_table::add(record& known, target_end const& end)
{
    auto const found = std::find_if(known.ends.begin(), known.ends.end(), [&](auto const& other) {
        return other.target == end.target && other.incarnation == end.incarnation;
    });
    if (found != known.ends.end()) {
        bool const changed = end.acquitted && !found->acquitted;
        found->acquitted = found->acquitted || end.acquitted;
        return changed;
    }
    if (known.ends.size() >= max_ends) {
        auto const acquitted = std::find_if(known.ends.begin(), known.ends.end(),
                                            [](auto const& other) { return other.acquitted; });
        if (acquitted == known.ends.end()) {
            return false;
        }
        known.ends.erase(acquitted);
    }
    known.ends.push_back(end);
    return true;
}

void crash_table::note_end(request_fingerprint request, target_end const& end, mono_time now)
{
    auto const completed = completed_.find(request);
    bool const lately = completed != completed_.end() && now - completed->second < acquittal_time;
    if (retention_ <= milliseconds{0} || lately) {
        return;
    }
    record& known = find_or_add(request, now);
    bool const was_blocked = known.counted() >= ends_to_block;
    known.last_end = now;
    if (add(known, end)) {
        changed_.insert(request);
    }
    if (!was_blocked && known.counted() >= ends_to_block) {
        newly_blocked_.insert(request);
    }
}

void crash_table::note_lately_completed(request_fingerprint request, mono_time now)
{
    completed_[request] = now;
    completions_.emplace_back(now, request);
    while (completions_.size() > max_completions ||
           now - completions_.front().first >= acquittal_time) {
        auto const found = completed_.find(completions_.front().second);
        if (found != completed_.end() && found->second == completions_.front().first) {
            completed_.erase(found);
        }
        completions_.pop_front();
    }
}

void crash_table::note_completed(request_fingerprint request, mono_time now)
{
    note_lately_completed(request, now);
    auto const found = records_.find(request);
    if (found == records_.end() || found->second.counted() == 0) {
        return;
    }
    for (target_end& end : found->second.ends) {
        end.acquitted = true;
    }
    changed_.insert(request);
}

void crash_table::merge(std::vector<crash_record> const& reported, mono_time now)
{
    for (crash_record const& report : reported) {
        if (report.age >= retention_ || report.ends.empty()) {
            continue;
        }
        record& known = find_or_add(report.fingerprint, now);
        bool const was_blocked = known.counted() >= ends_to_block;
        known.last_end = std::max(known.last_end, now - report.age);
        for (target_end const& end : report.ends) {
            add(known, end);
        }
        if (!was_blocked && known.counted() >= ends_to_block) {
            newly_blocked_.insert(report.fingerprint);
        }
    }
}

/** @return the ends that count against a request. */
std::size_t crash_table::counted(request_fingerprint request, mono_time now) const
{
    auto const found = records_.find(request);
    bool const known = found != records_.end() && now - found->second.last_end < retention_;
    return known ? found->second.counted() : 0;
}

bool crash_table::suspected(request_fingerprint request, mono_time now) const
{
    return counted(request, now) > 0;
}

bool crash_table::blocked(request_fingerprint request, mono_time now) const
{
    return counted(request, now) >= ends_to_block;
}

crash_record crash_table::exported(request_fingerprint request, record const& known, mono_time now)
{
    return {request, known.ends, std::chrono::duration_cast<milliseconds>(now - known.last_end)};
}

std::vector<crash_record> crash_table::take_changes(mono_time now)
{
    std::vector<crash_record> out;
    for (request_fingerprint const request : std::exchange(changed_, {})) {
        if (auto const found = records_.find(request); found != records_.end()) {
            out.push_back(exported(request, found->second, now));
        }
    }
    return out;
}

std::vector<crash_record> crash_table::take_blocked(mono_time now)
{
    std::vector<crash_record> out;
    for (request_fingerprint const request : std::exchange(newly_blocked_, {})) {
        if (auto const found = records_.find(request); found != records_.end()) {
            out.push_back(exported(request, found->second, now));
        }
    }
    return out;
}

std::vector<crash_record> crash_table::worst(std::size_t limit, mono_time now) const
{
    std::vector<std::pair<request_fingerprint, record const*>> order;
    for (auto const& [request, known] : records_) {
        if (now - known.last_end < retention_) {
            order.emplace_back(request, &known);
        }
    }
    auto const last = order.begin() + static_cast<std::ptrdiff_t>(std::min(limit, order.size()));
    std::partial_sort(order.begin(), last, order.end(), [](auto const& a, auto const& b) {
        return std::pair(a.second->counted(), a.second->last_end) >
               std::pair(b.second->counted(), b.second->last_end);
    });
    std::vector<crash_record> out;
    for (auto it = order.begin(); it != last; ++it) {
        out.push_back(exported(it->first, *it->second, now));
    }
    return out;
}

} // namespace cove
