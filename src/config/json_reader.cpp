#include "config/json_reader.h"

#include "json/json_text.h"

#include <ctime>

namespace cove {

namespace {

constexpr char const* time_format = "%Y-%m-%dT%H:%M:%SZ";
constexpr char const* non_empty_string = "a non-empty string";

/** An object or array that the parser has not finished yet. */
struct open_value {
    bool is_list = false;
    std::size_t index = 0; ///< of the next item of an array
    std::string key;       ///< latest key of an object
    std::set<std::string> keys;
};

json_pointer pointer_to(std::vector<open_value> const& path)
{
    json_pointer out;
    for (open_value const& step : path) {
        if (step.is_list) {
            out /= step.index - 1;
        }
        else {
            out /= step.key;
        }
    }
    return out;
}

void begin_value(std::vector<open_value>& path)
{
    if (!path.empty() && path.back().is_list) {
        ++path.back().index;
    }
}

} // namespace

void throw_format_error(json_pointer const& location, std::string const& expected,
                        nlohmann::json const& found)
{
    std::string const shown = found.is_structured() ? found.type_name() : found.dump();
    throw format_error{location, "expected " + expected + ", found " + shown};
}

nlohmann::json parse_unique_keys(std::string_view text)
{
    using json = nlohmann::json;
    std::vector<open_value> path;
    if (nesting_depth(text) > max_json_depth) {
        throw format_error{json_pointer(), "nested too deep"};
    }
    auto const visit = [&path](int, json::parse_event_t event, json& parsed) {
        switch (event) {
        case json::parse_event_t::object_start:
        case json::parse_event_t::array_start:
            begin_value(path);
            path.emplace_back().is_list = event == json::parse_event_t::array_start;
            break;
        case json::parse_event_t::key:
            path.back().key = parsed.get<std::string>();
            if (!path.back().keys.insert(path.back().key).second) {
                throw format_error{pointer_to(path), "duplicate key; expected each key once"};
            }
            break;
        case json::parse_event_t::value:
            begin_value(path);
            break;
        case json::parse_event_t::object_end:
        case json::parse_event_t::array_end:
            path.pop_back();
            break;
        }
        return true;
    };
    return json::parse(text, visit);
}

std::string format_wall_time(wall_time time)
{
    std::time_t const whole = std::chrono::floor<seconds>(time).time_since_epoch().count();
    std::tm parts{};
    gmtime_r(&whole, &parts);
    char text[32];
    return {text, std::strftime(text, sizeof text, time_format, &parts)};
}

object_reader::object_reader(json const& value, json_pointer location)
    : value_(value), location_(std::move(location))
{
    if (!value.is_object()) {
        throw_format_error(location_, "an object", value);
    }
}

bool object_reader::has(std::string const& key)
{
    known_.insert(key);
    return value_.contains(key);
}

object_reader::json const& object_reader::member(std::string const& key,
                                                 std::string const& expected)
{
    if (!has(key)) {
        throw format_error{location_ / key, "missing; expected " + expected};
    }
    return value_.at(key);
}

object_reader::json const& object_reader::array(std::string const& key)
{
    json const& items = member(key, "an array");
    if (!items.is_array()) {
        throw_format_error(location_ / key, "an array", items);
    }
    return items;
}

std::string object_reader::text(std::string const& key)
{
    return read_text(member(key, non_empty_string), location_ / key);
}

bool object_reader::boolean(std::string const& key)
{
    json const& found = member(key, "true or false");
    if (!found.is_boolean()) {
        throw_format_error(location_ / key, "true or false", found);
    }
    return found.get<bool>();
}

std::int64_t object_reader::integer(std::string const& key, std::int64_t least, std::int64_t most)
{
    std::string const expected =
        "a whole number " + std::to_string(least) + " to " + std::to_string(most);
    json const& found = member(key, expected);
    if (!found.is_number_integer() || found > most || found < least) {
        throw_format_error(location_ / key, expected, found);
    }
    return found.get<std::int64_t>();
}

double object_reader::share(std::string const& key, bool zero_allowed)
{
    std::string const expected =
        zero_allowed ? "a number from 0 to 1" : "a number above 0 and at most 1";
    json const& found = member(key, expected);
    if (!found.is_number()) {
        throw_format_error(location_ / key, expected, found);
    }
    auto const value = found.get<double>();
    if (!(value <= 1) || value < 0 || (value == 0 && !zero_allowed)) {
        throw_format_error(location_ / key, expected, found);
    }
    return value;
}

wall_time object_reader::time(std::string const& key)
{
    std::string const expected = "a UTC time such as 2026-12-04T08:00:00Z";
    json const& found = member(key, expected);
    if (!found.is_string()) {
        throw_format_error(location_ / key, expected, found);
    }
    auto const text = found.get<std::string>();
    std::tm parts{};
    if (strptime(text.c_str(), time_format, &parts) == nullptr) {
        throw_format_error(location_ / key, expected, found);
    }
    wall_time const out{seconds(timegm(&parts))};
    if (format_wall_time(out) != text) {
        throw_format_error(location_ / key, expected, found);
    }
    return out;
}

object_reader object_reader::object(std::string const& key)
{
    return {member(key, "an object"), location_ / key};
}

void object_reader::finish() const
{
    for (auto const& item : value_.items()) {
        if (!known_.contains(item.key())) {
            std::string known;
            for (std::string const& key : known_) {
                known += (known.empty() ? "" : ", ") + key;
            }
            throw format_error{location_ / item.key(), "unknown key; expected one of " + known};
        }
    }
}

std::string read_text(nlohmann::json const& value, json_pointer const& location)
{
    if (!value.is_string() || value.get_ref<std::string const&>().empty()) {
        throw_format_error(location, non_empty_string, value);
    }
    return value.get<std::string>();
}

} // namespace cove
