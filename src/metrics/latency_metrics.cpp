#include "metrics/latency_metrics.h"

#include <boost/histogram.hpp>
#include <cmath>
#include <sstream>

namespace cove {

namespace {

namespace bh = boost::histogram;

constexpr double min_us = 10;          ///< lower edge of the first bin
constexpr double max_us = 100'000'000; ///< upper edge of the last bin
constexpr unsigned bins = 280;         ///< 40 per decade: a bin is 6% wide, which bounds the error

using axis = bh::axis::regular<double, bh::axis::transform::log>;
using histogram = decltype(bh::make_histogram_with(bh::dense_storage<std::uint64_t>(),
                                                   axis(bins, min_us, max_us)));

} // namespace

struct duration_histogram::impl {
    histogram bins = bh::make_histogram_with(bh::dense_storage<std::uint64_t>(),
                                             axis(cove::bins, min_us, max_us));
    std::uint64_t count = 0;
    double sum_us = 0;
};

duration_histogram::duration_histogram() : impl_(std::make_unique<impl>()) {}
duration_histogram::~duration_histogram() = default;
duration_histogram::duration_histogram(duration_histogram&&) noexcept = default;
duration_histogram& duration_histogram::operator=(duration_histogram&&) noexcept = default;

void duration_histogram::add(microseconds value)
{
    impl_->bins(static_cast<double>(value.count()));
    ++impl_->count;
    impl_->sum_us += static_cast<double>(value.count());
}

void duration_histogram::merge(duration_histogram const& other)
{
    impl_->bins += other.impl_->bins;
    impl_->count += other.impl_->count;
    impl_->sum_us += other.impl_->sum_us;
}

std::uint64_t duration_histogram::count() const
{
    return impl_->count;
}

microseconds duration_histogram::quantile(double q) const
{
    auto const rank = static_cast<std::uint64_t>(std::ceil(q * static_cast<double>(impl_->count)));
    std::uint64_t cumulative = 0;
    for (auto&& bin : bh::indexed(impl_->bins, bh::coverage::all)) {
        cumulative += *bin;
        if (cumulative >= rank && cumulative > 0) {
            double const edge = bin.bin().upper();
            return microseconds(static_cast<std::int64_t>(std::isfinite(edge) ? edge : max_us));
        }
    }
    return microseconds::zero();
}

std::string duration_histogram::prometheus(std::string const& name, std::string const& labels) const
{
    constexpr double us_per_s = 1'000'000;
    std::ostringstream out;
    std::string const separator = labels.empty() ? "" : ",";
    std::string const own_labels = labels.empty() ? "" : "{" + labels + "}";
    std::uint64_t cumulative = 0;
    for (auto&& bin : bh::indexed(impl_->bins, bh::coverage::all)) {
        if (*bin == 0) {
            continue;
        }
        cumulative += *bin;
        double const edge = bin.bin().upper();
        if (std::isfinite(edge)) {
            out << name << "_bucket{" << labels << separator << "le=\"" << edge / us_per_s << "\"} "
                << cumulative << "\n";
        }
    }
    out << name << "_bucket{" << labels << separator << "le=\"+Inf\"} " << impl_->count << "\n"
        << name << "_sum" << own_labels << " " << impl_->sum_us / us_per_s << "\n"
        << name << "_count" << own_labels << " " << impl_->count << "\n";
    return out.str();
}

void latency_metrics::add(service_id const& service, class_id const& request_class,
                          std::string const& outcome, microseconds latency)
{
    std::lock_guard const lock(mutex_);
    histograms_[{service, request_class, outcome}].add(latency);
}

std::string latency_metrics::prometheus() const
{
    std::lock_guard const lock(mutex_);
    std::string out = "# TYPE cove_request_seconds histogram\n";
    for (auto const& [key, histogram] : histograms_) {
        out += histogram.prometheus("cove_request_seconds",
                                    "service=\"" + key.service.value + "\",class=\"" +
                                        key.request_class.value + "\",outcome=\"" + key.outcome +
                                        "\"");
    }
    return out;
}

} // namespace cove
