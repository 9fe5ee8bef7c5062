#pragma once
/** @file Open-loop arrivals: request start times do not depend on when answers arrive. */

#include "core/random.h"
#include "load/load_settings.h"

#include <optional>

namespace cove {

/** Generates request start times as a Poisson process that follows the rate profile. */
class arrival_schedule {
public:
    /** @param profile rates over time. @param duration end of the run; no request starts later. */
    arrival_schedule(std::vector<rate_step> profile, microseconds duration, std::uint64_t seed);

    /** @return the next start time relative to the start of the run, or nullopt at its end. */
    std::optional<microseconds> next();

private:
    std::vector<rate_step> profile_;
    microseconds duration_;
    random_engine random_;
    std::size_t step_ = 0;
    microseconds at_{};
};

/** Picks request classes at random, weighted by their shares. */
class class_sampler {
public:
    explicit class_sampler(std::vector<load_class> const& classes);

    /** @return the index of a class in the settings. @param random random number generator. */
    std::size_t sample(random_engine& random);

private:
    std::discrete_distribution<std::size_t> shares_;
};

} // namespace cove
