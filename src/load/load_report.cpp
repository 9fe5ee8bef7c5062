#include "load/load_report.h"

#include <iomanip>
#include <sstream>

namespace cove {

namespace {

constexpr double us_per_ms = 1000;
constexpr double p50 = 0.5;
constexpr double p99 = 0.99;
constexpr double p999 = 0.999;
constexpr int text_width = 16;
constexpr int number_width = 11;

double ms_of(microseconds value)
{
    return static_cast<double>(value.count()) / us_per_ms;
}

nlohmann::json quantiles_of(duration_histogram const& histogram)
{
    return {{"count", histogram.count()},
            {"p50_ms", ms_of(histogram.quantile(p50))},
            {"p99_ms", ms_of(histogram.quantile(p99))},
            {"p999_ms", ms_of(histogram.quantile(p999))}};
}

nlohmann::json counts_of(load_counts const& counts)
{
    return {{"requests", counts.requests},
            {"done", counts.done},
            {"not_run", counts.not_run},
            {"unknown", counts.unknown},
            {"lost", counts.lost},
            {"wrong_answer", counts.wrong_answer},
            {"comebacks", counts.new_operation_retries},
            {"retries", counts.retries},
            {"lookups", counts.lookups},
            {"failed_lookups", counts.failed_lookups},
            {"cancels", counts.cancels}};
}

void add_counts(load_counts& to, load_counts const& from)
{
    to.requests += from.requests;
    to.done += from.done;
    to.not_run += from.not_run;
    to.unknown += from.unknown;
    to.lost += from.lost;
    to.wrong_answer += from.wrong_answer;
    to.new_operation_retries += from.new_operation_retries;
    to.retries += from.retries;
    to.lookups += from.lookups;
    to.failed_lookups += from.failed_lookups;
    to.cancels += from.cancels;
}

std::uint64_t& counter_of(load_counts& counts, std::string const& outcome)
{
    if (outcome == "done") {
        return counts.done;
    }
    if (outcome == "not_run") {
        return counts.not_run;
    }
    return outcome == "unknown" ? counts.unknown : counts.lost;
}

} // namespace

void load_results::add(load_class const& kind, std::string const& outcome, microseconds latency)
{
    ++counts.requests;
    ++counter_of(counts, outcome);
    latencies_[{kind.service, kind.request_class, outcome}].add(latency);
}

void load_results::merge(load_results const& other)
{
    add_counts(counts, other.counts);
    for (auto const& [key, histogram] : other.latencies_) {
        latencies_[key].merge(histogram);
    }
    start_lag_.merge(other.start_lag_);
}

nlohmann::json load_results::to_json(std::string const& name) const
{
    nlohmann::json rows = nlohmann::json::array();
    for (auto const& [key, histogram] : latencies_) {
        nlohmann::json row = quantiles_of(histogram);
        row["service"] = key.service.value;
        row["class"] = key.request_class.value;
        row["outcome"] = key.outcome;
        rows.push_back(std::move(row));
    }
    return {{"name", name},
            {"counts", counts_of(counts)},
            {"latency", rows},
            {"start_lag", quantiles_of(start_lag_)}};
}

std::string load_results::to_table() const
{
    std::ostringstream out;
    out << std::left << std::setw(text_width) << "service" << std::setw(text_width) << "class"
        << std::setw(text_width) << "outcome" << std::right << std::setw(number_width) << "count"
        << std::setw(number_width) << "p50 ms" << std::setw(number_width) << "p99 ms"
        << std::setw(number_width) << "p99.9 ms"
        << "\n"
        << std::fixed << std::setprecision(2);
    for (auto const& [key, histogram] : latencies_) {
        out << std::left << std::setw(text_width) << key.service.value << std::setw(text_width)
            << key.request_class.value << std::setw(text_width) << key.outcome << std::right
            << std::setw(number_width) << histogram.count();
        for (double const q : {p50, p99, p999}) {
            out << std::setw(number_width) << ms_of(histogram.quantile(q));
        }
        out << "\n";
    }
    return out.str();
}

} // namespace cove
