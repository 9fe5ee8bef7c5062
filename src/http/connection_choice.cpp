#include "http/connection_choice.h"

#include <tuple>

namespace cove {

namespace {

/// Most ordinary requests are complete by then.
constexpr milliseconds newcomer_time{1000};

} // namespace

std::optional<std::size_t> choose_to_close(std::vector<waiting_connection> const& all,
                                           mono_time now)
{
    auto const rank = [now](waiting_connection const& one) {
        bool const newcomer = now - one.since < newcomer_time;
        double const age = std::chrono::duration<double>(now - one.since).count();
        double const rate = newcomer ? 0 : static_cast<double>(one.bytes) / age;
        return std::tuple(newcomer, rate, one.since);
    };
    std::optional<std::size_t> chosen;
    for (std::size_t i = 0; i < all.size(); ++i) {
        if (now - all[i].since < newcomer_time && all[i].bytes > 0) {
            continue;
        }
        if (!chosen || rank(all[i]) < rank(all[*chosen])) {
            chosen = i;
        }
    }
    return chosen;
}

} // namespace cove
