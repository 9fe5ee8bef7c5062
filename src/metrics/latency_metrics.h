#pragma once
/** @file Latency histograms per service, class and outcome. */

#include "core/ids_type.h"
#include "core/time_type.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace cove {

/** A histogram of durations from 10 microseconds to 100 seconds. */
class duration_histogram {
public:
    duration_histogram();
    ~duration_histogram();
    duration_histogram(duration_histogram&&) noexcept;
    duration_histogram& operator=(duration_histogram&&) noexcept;
    duration_histogram(duration_histogram const&) = delete;
    duration_histogram& operator=(duration_histogram const&) = delete;

    /** Adds one duration. */
    void add(microseconds value);

    /** Adds the counts and the sum of @p other. */
    void merge(duration_histogram const& other);

    /** @return the number of durations added. */
    [[nodiscard]] std::uint64_t count() const;

    /** @return quantile @p q, 0 to 1, as the upper edge of its bin; zero without any data. */
    [[nodiscard]] microseconds quantile(double q) const;

    /**
     * @param name of the metric.
     * @param labels as `a="b",c="d"`; may be empty.
     * @return the histogram in the Prometheus text format.
     */
    [[nodiscard]] std::string prometheus(std::string const& name, std::string const& labels) const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

/** Latency histograms by service, class and outcome; thread-safe. */
class latency_metrics {
public:
    /** Adds the latency of one finished request. */
    void add(service_id const& service, class_id const& request_class, std::string const& outcome,
             microseconds latency);

    /** @return all histograms in the Prometheus text format. */
    [[nodiscard]] std::string prometheus() const;

private:
    struct key {
        service_id service;
        class_id request_class;
        std::string outcome;
        auto operator<=>(key const&) const = default;
    };

    mutable std::mutex mutex_;
    std::map<key, duration_histogram> histograms_;
};

} // namespace cove
