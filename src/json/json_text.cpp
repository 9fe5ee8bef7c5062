#include "json/json_text.h"

#include <algorithm>
#include <vector>

namespace cove {

namespace {

using json = nlohmann::json;

constexpr std::string_view blanks = " \t\r\n";

/** Follows nesting and strings from byte to byte. */
class json_scanner {
public:
    /** Takes the next byte. @return whether it is part of a string, its quotes included. */
    bool take(char byte)
    {
        if (in_string_) {
            bool const ends = byte == '"' && !escaped_;
            escaped_ = byte == '\\' && !escaped_;
            in_string_ = !ends;
            return true;
        }
        if (byte == '"') {
            in_string_ = true;
            return true;
        }
        depth_ += byte == '{' || byte == '[' ? 1 : 0;
        depth_ -= byte == '}' || byte == ']' ? 1 : 0;
        return false;
    }

    [[nodiscard]] int depth() const { return depth_; }

private:
    int depth_ = 0;
    bool in_string_ = false;
    bool escaped_ = false;
};

std::string_view trim(std::string_view text)
{
    auto const first = text.find_first_not_of(blanks);
    return first == std::string_view::npos
               ? std::string_view()
               : text.substr(first, text.find_last_not_of(blanks) + 1 - first);
}

/** @return the parts of @p text between the separators outside of strings, lists and objects. */
std::vector<std::string_view> split(std::string_view text, char separator)
{
    std::vector<std::string_view> out;
    json_scanner scanner;
    std::size_t begin = 0;
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (!scanner.take(text[at]) && scanner.depth() == 0 && text[at] == separator) {
            out.push_back(trim(text.substr(begin, at - begin)));
            begin = at + 1;
        }
    }
    out.push_back(trim(text.substr(begin)));
    return out;
}

json salvage_list(std::string_view content, int levels)
{
    json out = json::array();
    for (std::string_view const element : split(content, ',')) {
        out.push_back(salvage_json(element, levels));
    }
    return out;
}

json salvage_object(std::string_view content, int levels)
{
    json out = json::object();
    for (std::string_view const member : split(content, ',')) {
        std::string_view const key_text = split(member, ':').front();
        auto const key = parse_json(key_text, "");
        if (key && key->is_string() && key_text.size() < member.size()) {
            std::string_view const value = trim(member.substr(key_text.size()));
            out[key->get<std::string>()] =
                value.starts_with(':') ? salvage_json(trim(value.substr(1)), levels) : json();
        }
    }
    return out;
}

} // namespace

int nesting_depth(std::string_view text)
{
    json_scanner scanner;
    int deepest = 0;
    for (char const byte : text) {
        scanner.take(byte);
        deepest = std::max(deepest, scanner.depth());
    }
    return deepest;
}

result<json> parse_json(std::string_view text, std::string const& source)
{
    if (int const depth = nesting_depth(text); depth > max_json_depth) {
        return fail("json.parse", source,
                    "nested " + std::to_string(depth) + " levels deep, expected up to " +
                        std::to_string(max_json_depth));
    }
    try {
        return json::parse(text);
    }
    catch (json::exception const& error) {
        return fail("json.parse", source, error.what());
    }
}

json salvage_json(std::string_view text, int levels)
{
    if (auto whole = parse_json(text, "")) {
        return std::move(*whole);
    }
    text = trim(text);
    if (levels > 0 && text.size() >= 2) {
        std::string_view const content = text.substr(1, text.size() - 2);
        if (text.front() == '[' && text.back() == ']') {
            return salvage_list(content, levels - 1);
        }
        if (text.front() == '{' && text.back() == '}') {
            return salvage_object(content, levels - 1);
        }
    }
    return nullptr;
}

} // namespace cove
