#pragma once
/** @file Tells the requests that crash targets from those that were beside them. */

#include "traffic/crash_type.h"

#include <deque>
#include <map>
#include <set>
#include <unordered_map>

namespace cove {

/**
 * Records under which requests targets have ended. A request that a target completes is acquitted
 * of the ends before, and of those that follow soon; so requests that many clients send alike are
 * not blocked if a rack fails. One under which enough targets have ended is blocked until it is
 * forgotten, or until a copy that still runs is completed. Records of several hosts merge in any
 * order and any number of times.
 */
class crash_table {
public:
    /** @param retention time after the last end for which a request is remembered; zero: never. */
    explicit crash_table(milliseconds retention) : retention_(retention) {}

    /** Changes the retention; the records that it makes too old are forgotten. */
    void set_retention(milliseconds retention, mono_time now);

    /** Records that a target ended while it ran the request. */
    void note_end(request_fingerprint request, target_end const& end, mono_time now);

    /** Records that a target has completed the request. */
    void note_completed(request_fingerprint request, mono_time now);

    /** Adds what another host has recorded. */
    void merge(std::vector<crash_record> const& reported, mono_time now);

    /** @return whether a target has ended under the request and none has completed it since. */
    [[nodiscard]] bool suspected(request_fingerprint request, mono_time now) const;

    /** @return whether the request must not be sent to any target. */
    [[nodiscard]] bool blocked(request_fingerprint request, mono_time now) const;

    /** @return the records that this host has changed since the last call, to be reported. */
    std::vector<crash_record> take_changes(mono_time now);

    /** @return the requests that became blocked since the last call. */
    std::vector<crash_record> take_blocked(mono_time now);

    /** @return at most @p limit records, those with the most ends first. */
    [[nodiscard]] std::vector<crash_record> worst(std::size_t limit, mono_time now) const;

    [[nodiscard]] std::size_t size() const { return records_.size(); }

private:
    struct record {
        std::vector<target_end> ends;
        mono_time last_end{};
        [[nodiscard]] std::size_t counted() const; ///< ends of which it is not acquitted
    };

    record& find_or_add(request_fingerprint request, mono_time now);
    bool add(record& known, target_end const& end);
    void note_lately_completed(request_fingerprint request, mono_time now);
    void expire(mono_time now);
    [[nodiscard]] std::size_t counted(request_fingerprint request, mono_time now) const;
    [[nodiscard]] static crash_record exported(request_fingerprint request, record const& known,
                                               mono_time now);

    milliseconds retention_;
    std::map<request_fingerprint, record> records_;
    std::unordered_map<request_fingerprint, mono_time> completed_;      ///< lately
    std::deque<std::pair<mono_time, request_fingerprint>> completions_; ///< oldest first
    std::set<request_fingerprint> changed_;                             ///< by this host
    std::set<request_fingerprint> newly_blocked_;
};

} // namespace cove
