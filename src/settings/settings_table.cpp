#include "settings/settings_table.h"

#include <charconv>
#include <cmath>
#include <fstream>
#include <sstream>

namespace cove {

std::optional<milliseconds> parse_duration(std::string_view text)
{
    constexpr double ms_per_second = 1000;
    constexpr double max_ms = 1e12; // about 30 years; longer durations are taken for mistakes
    double number = 0;
    auto const [end, code] = std::from_chars(text.data(), text.data() + text.size(), number);
    std::string_view const unit(end, static_cast<std::size_t>(text.data() + text.size() - end));
    if (code != std::errc{} || !(number >= 0) || (unit != "ms" && unit != "s")) {
        return std::nullopt;
    }
    double const ms = unit == "s" ? number * ms_per_second : number;
    if (ms > max_ms) {
        return std::nullopt;
    }
    return milliseconds(std::llround(ms));
}

result<std::string> read_file(std::string const& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return fail("file.read", path, "cannot open");
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace cove
