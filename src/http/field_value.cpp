#include "http/field_value.h"

#include <algorithm>

namespace cove {

bool is_field_name(std::string_view text)
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return !text.empty() && std::all_of(text.begin(), text.end(), [&](char byte) {
        return (byte >= 'A' && byte <= 'Z') || (byte >= 'a' && byte <= 'z') ||
               (byte >= '0' && byte <= '9') || marks.find(byte) != std::string_view::npos;
    });
}

bool is_field_value(std::string_view text)
{
    auto const is_control = [](char byte) {
        constexpr unsigned char del = 0x7f;
        auto const value = static_cast<unsigned char>(byte);
        return value < ' ' || value == del;
    };
    return !text.empty() && text.front() != ' ' && text.back() != ' ' &&
           std::none_of(text.begin(), text.end(), is_control);
}

} // namespace cove
