#include "http/field_value.h"

#include "core/text_func.h"

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
    return !text.empty() && text.front() != ' ' && text.back() != ' ' &&
           std::none_of(text.begin(), text.end(), is_control);
}

} // namespace cove
