#pragma once
/** @file Expected service times, estimated from the answers of targets. */

#include "route/route_type.h"

#include <map>
#include <optional>

namespace cove {

/** An exponentially weighted moving average. */
class moving_mean {
public:
    /** @param weight of a new sample, 0 to 1. @param initial value before the first sample. */
    explicit moving_mean(double weight, double initial = 0) : weight_(weight), value_(initial) {}

    void add(double sample) { value_ += weight_ * (sample - value_); }
    [[nodiscard]] double value() const { return value_; }

private:
    double weight_;
    double value_;
};

/** Expected service times of one route. */
struct route_time {
    explicit route_time(milliseconds objective);

    moving_mean cold; ///< ms at a target that has not handled the object recently
    moving_mean warm; ///< ms at a target that has

    /** Notes the time of one request, in ms, that a target completed. */
    void note(double elapsed_ms);

    /** @return ms that few requests exceed; nullopt before the first sample. */
    [[nodiscard]] std::optional<double> slow() const { return slow_; }

    /** @return expected ms when the target is warm with probability @p share. */
    [[nodiscard]] double expected(double share) const;

private:
    std::optional<double> slow_; ///< a maximum that decays with each request
};

/** Expected service times of all routes and services. */
class service_times {
public:
    route_time& of(route_config const& route);

    /** @return mean service time of @p service in ms; 0 before the first sample. */
    [[nodiscard]] double mean(service_id const& service) const;

    /** Adds the service time of one request. */
    void add_sample(service_id const& service, double elapsed_ms);

private:
    std::map<route_id, route_time> routes_;
    std::map<service_id, moving_mean> services_;
};

} // namespace cove
