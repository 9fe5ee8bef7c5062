#include "traffic/load_field.h"

#include <charconv>
#include <cmath>
#include <cstdio>

namespace cove {

namespace {

constexpr double percent = 100;

/** @return the slowness that a @p text in percent names; nullopt if it is none. */
std::optional<double> read_slowness(std::string const& text)
{
    double value = 0;
    char const* const end = text.data() + text.size();
    auto const [last, code] = std::from_chars(text.data(), end, value);
    if (code != std::errc{} || last != end || !std::isfinite(value) || value <= 0) {
        return std::nullopt;
    }
    return value / percent;
}

} // namespace

std::optional<target_load> read_load_field(std::string const& text)
{
    target_load load;
    int length = 0;
    if (std::sscanf(text.c_str(), "%d,%d,%d%n", &load.running, &load.waiting, &load.slots,
                    &length) != 3) {
        return std::nullopt;
    }
    auto const rest = static_cast<std::size_t>(length);
    if (rest < text.size() && text[rest] == ',') {
        load.slowness = read_slowness(text.substr(rest + 1));
    }
    return load;
}

} // namespace cove
