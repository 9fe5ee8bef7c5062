#pragma once
/** @file Strict reading of JSON: unknown keys are errors, and errors carry a JSON pointer. */

#include "core/time_type.h"

#include <nlohmann/json.hpp>
#include <set>
#include <string>

namespace cove {

using json_pointer = nlohmann::json::json_pointer;

/** Thrown when JSON is not as expected; the parse functions turn it into a step_error. */
struct format_error {
    json_pointer location;
    std::string message; ///< human-readable; says what was expected
};

/** Throws a format_error that says what was expected instead of @p found. */
[[noreturn]] void throw_format_error(json_pointer const& location, std::string const& expected,
                                     nlohmann::json const& found);

/** Parses @p text; throws a format_error when an object has the same key twice. */
nlohmann::json parse_unique_keys(std::string_view text);

/** @return @p time in RFC 3339 format, in UTC with whole seconds. */
std::string format_wall_time(wall_time time);

/** Reads the members of a JSON object. Getters throw a format_error on a wrong or missing value. */
class object_reader {
public:
    using json = nlohmann::json;

    /** @param value must be an object. @param location JSON pointer to it, for errors. */
    object_reader(json const& value, json_pointer location);

    /** @return whether @p key is present; marks it as known. */
    [[nodiscard]] bool has(std::string const& key);

    /** @return a non-empty string. */
    std::string text(std::string const& key);

    bool boolean(std::string const& key);

    /** @return a whole number between @p least and @p most. */
    std::int64_t integer(std::string const& key, std::int64_t least, std::int64_t most);

    /** @return a number above 0 (or 0, if @p zero_allowed) and at most 1. */
    double share(std::string const& key, bool zero_allowed);

    /** @return a time given in RFC 3339 format, in UTC with whole seconds. */
    wall_time time(std::string const& key);

    /**
     * Reads an array.
     * @param read called with each item and the JSON pointer to it.
     */
    template <class Item, class Read>
    std::vector<Item> list(std::string const& key, Read read)
    {
        json const& items = array(key);
        std::vector<Item> out;
        out.reserve(items.size());
        for (std::size_t i = 0; i < items.size(); ++i) {
            out.push_back(read(items[i], location_ / key / i));
        }
        return out;
    }

    /** @return the object at @p key. */
    object_reader object(std::string const& key);

    /** Throws a format_error when the object has a key that was not read or asked for. */
    void finish() const;

private:
    json const& member(std::string const& key, std::string const& expected);
    json const& array(std::string const& key);

    json const& value_;
    json_pointer location_;
    std::set<std::string> known_;
};

/** @return the string in @p value, which must not be empty; @p location is for errors. */
std::string read_text(nlohmann::json const& value, json_pointer const& location);

} // namespace cove
