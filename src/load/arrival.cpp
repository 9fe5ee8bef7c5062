#include "load/arrival.h"

namespace cove {

namespace {

constexpr double us_per_s = 1'000'000;

std::vector<double> shares_of(std::vector<load_class> const& classes)
{
    std::vector<double> shares;
    for (load_class const& item : classes) {
        shares.push_back(item.share);
    }
    return shares;
}

} // namespace

arrival_schedule::arrival_schedule(std::vector<rate_step> profile, microseconds duration,
                                   std::uint64_t seed)
    : profile_(std::move(profile)), duration_(duration), random_(seed)
{
}

std::optional<microseconds> arrival_schedule::next()
{
    while (step_ < profile_.size()) {
        bool const last = step_ + 1 == profile_.size();
        microseconds const end =
            last ? duration_ : std::min<microseconds>(duration_, profile_[step_ + 1].at);
        at_ = std::max<microseconds>(at_, profile_[step_].at);
        if (profile_[step_].rate > 0) {
            std::exponential_distribution<double> gap(profile_[step_].rate);
            microseconds const candidate =
                at_ + microseconds(static_cast<std::int64_t>(gap(random_) * us_per_s));
            if (candidate < end) {
                at_ = candidate;
                return at_;
            }
        }
        at_ = std::max(at_, end);
        ++step_;
    }
    return std::nullopt;
}

class_sampler::class_sampler(std::vector<load_class> const& classes)
{
    auto const shares = shares_of(classes);
    shares_ = std::discrete_distribution<std::size_t>(shares.begin(), shares.end());
}

std::size_t class_sampler::sample(random_engine& random)
{
    return shares_(random);
}

} // namespace cove
