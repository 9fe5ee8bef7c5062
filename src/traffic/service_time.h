#pragma once
/** @file How long targets take, learned from answers. */

#include "route/route_type.h"

#include <map>

namespace cove {

/** An exponentially weighted mean. */
class moving_mean {
public:
    /** @param weight of a new sample. @param first value before any sample. */
    explicit moving_mean(double weight, double first = 0) : weight_(weight), value_(first) {}

    void add(double sample) { value_ += weight_ * (sample - value_); }
    [[nodiscard]] double value() const { return value_; }

private:
    double weight_;
    double value_;
};

/** Expected times of one route. */
struct route_time {
    explicit route_time(milliseconds objective);

    moving_mean cold; ///< ms at a target that has not handled the object lately
    moving_mean warm; ///< ms at one that has

    /** @return expected ms when the target is warm with probability @p share. */
    [[nodiscard]] double expected(double share) const;
};

/** Expected times of all routes. */
class service_times {
public:
    /** @return the times of @p route. */
    route_time& of(route_config const& route);

    /** @return mean ms of an exchange with @p service; 0 before any. */
    [[nodiscard]] double mean(service_id const& service) const;

    /** Counts an exchange. */
    void add_exchange(service_id const& service, double took_ms);

private:
    std::map<route_id, route_time> routes_;
    std::map<service_id, moving_mean> services_;
};

} // namespace cove
