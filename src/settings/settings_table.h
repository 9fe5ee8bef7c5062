#pragma once
/** @file Declarative table of a program's settings: parsing, validation and help text. */

#include "core/address.h"
#include "core/error.h"
#include "core/time_type.h"
#include "json/json_text.h"

#include <functional>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cove {

/** @return the duration in @p text, a number with unit ms or s; nothing if it is invalid. */
std::optional<milliseconds> parse_duration(std::string_view text);

/** @return the contents of the file at @p path, or an error if it cannot be opened. */
result<std::string> read_file(std::string const& path);

/**
 * Describes the settings of one program: name, expected format and help text of each.
 * @tparam Settings the struct that parse() fills in.
 */
template <class Settings>
class settings_table {
public:
    using json = nlohmann::json;

    /** Adds a non-empty string setting. @return this table. */
    settings_table& text(std::string name, std::string Settings::*field, std::string help)
    {
        return add(std::move(name), "text", std::move(help), [field](Settings& s, json const& v) {
            if (!v.is_string() || v.get_ref<std::string const&>().empty()) {
                return false;
            }
            s.*field = v.get<std::string>();
            return true;
        });
    }

    /** Adds an IP:port setting. @return this table. */
    settings_table& ip_port(std::string name, std::string Settings::*field, std::string help)
    {
        return add(std::move(name), "IP:port", std::move(help),
                   [field](Settings& s, json const& v) {
                       if (!v.is_string() || !parse_address(v.get<std::string>())) {
                           return false;
                       }
                       s.*field = v.get<std::string>();
                       return true;
                   });
    }

    /** Adds a setting that lists IP:port addresses. @return this table. */
    settings_table& ip_port_list(std::string name, std::vector<std::string> Settings::*field,
                                 std::string help)
    {
        return add(std::move(name), "list of IP:port", std::move(help),
                   [field](Settings& s, json const& v) {
                       if (!v.is_array()) {
                           return false;
                       }
                       for (json const& item : v) {
                           if (!item.is_string() || !parse_address(item.get<std::string>())) {
                               return false;
                           }
                       }
                       s.*field = v.get<std::vector<std::string>>();
                       return true;
                   });
    }

    /** Adds an integer from @p min_value to @p max_value, both included. @return this table. */
    settings_table& integer(std::string name, int Settings::*field, int min_value, int max_value,
                            std::string help)
    {
        return add(std::move(name),
                   "whole number " + std::to_string(min_value) + " to " + std::to_string(max_value),
                   std::move(help), [=](Settings& s, json const& v) {
                       if (!v.is_number_integer() || v.get<long long>() < min_value ||
                           v.get<long long>() > max_value) {
                           return false;
                       }
                       s.*field = v.get<int>();
                       return true;
                   });
    }

    /** Adds a duration, written as an integer of 0 or more milliseconds. @return this table. */
    settings_table& duration_ms(std::string name, milliseconds Settings::*field, std::string help)
    {
        return add(std::move(name), "milliseconds, 0 or more", std::move(help),
                   [field](Settings& s, json const& v) {
                       if (!v.is_number_integer() || v.get<long long>() < 0) {
                           return false;
                       }
                       s.*field = milliseconds(v.get<long long>());
                       return true;
                   });
    }

    /** Adds a duration, written as a number with unit: 1500ms, 2.5s. @return this table. */
    settings_table& duration(std::string name, milliseconds Settings::*field, std::string help)
    {
        return add(std::move(name), "number with unit ms or s", std::move(help),
                   [field](Settings& s, json const& v) {
                       auto const time = v.is_string()
                                             ? parse_duration(v.get_ref<std::string const&>())
                                             : std::nullopt;
                       s.*field = time.value_or(milliseconds{0});
                       return time.has_value();
                   });
    }

    /** Adds a boolean setting. @return this table. */
    settings_table& flag(std::string name, bool Settings::*field, std::string help)
    {
        return add(std::move(name), "true or false", std::move(help),
                   [field](Settings& s, json const& v) {
                       if (!v.is_boolean()) {
                           return false;
                       }
                       s.*field = v.get<bool>();
                       return true;
                   });
    }

    /** Adds a non-negative number. @return this table. */
    settings_table& number(std::string name, double Settings::*field, std::string help)
    {
        return add(std::move(name), "number, 0 or more", std::move(help),
                   [field](Settings& s, json const& v) {
                       if (!v.is_number() || v.get<double>() < 0) {
                           return false;
                       }
                       s.*field = v.get<double>();
                       return true;
                   });
    }

    /**
     * Adds a setting with a custom format.
     * @param format description of the expected format, for errors and help.
     * @param assign parses the value into the settings; returns false if the format is wrong.
     * @return this table.
     */
    settings_table& value(std::string name, std::string format, std::string help,
                          std::function<bool(Settings&, json const&)> assign)
    {
        return add(std::move(name), std::move(format), std::move(help), std::move(assign));
    }

    /** Makes the setting added last optional. @return this table. */
    settings_table& optional()
    {
        rows_.back().required = false;
        return *this;
    }

    /**
     * Parses and validates settings. Optional settings that are absent keep the default of
     * @p Settings; unknown keys are errors.
     * @param text a JSON object.
     * @param source name of the input, for error messages.
     * @return the settings, or the first error.
     */
    [[nodiscard]] result<Settings> parse(std::string_view text, std::string const& source) const
    {
        auto const parsed = parse_json(text, source);
        if (!parsed) {
            return tl::make_unexpected(parsed.error());
        }
        if (!parsed->is_object()) {
            return fail("settings.check", source, "expected a JSON object");
        }
        for (auto const& item : parsed->items()) {
            if (find(item.key()) == nullptr) {
                return fail("settings.check", source + "#/" + item.key(), "unknown setting");
            }
        }
        Settings settings;
        for (row const& r : rows_) {
            auto const value = parsed->find(r.name);
            if (value == parsed->end()) {
                if (r.required) {
                    return fail("settings.check", source + "#/" + r.name,
                                "missing; expected " + r.format);
                }
            }
            else if (!r.assign(settings, *value)) {
                return fail("settings.check", source + "#/" + r.name,
                            "expected " + r.format + ", found " + value->dump());
            }
        }
        return settings;
    }

    /** @return the help text, one line per setting. */
    [[nodiscard]] std::string help() const
    {
        std::string out;
        for (row const& r : rows_) {
            out += "  " + r.name + " (" + r.format + (r.required ? "" : ", optional") +
                   "): " + r.help + "\n";
        }
        return out;
    }

private:
    struct row {
        std::string name;
        std::string format;
        std::string help;
        std::function<bool(Settings&, json const&)> assign;
        bool required = true;
    };

    settings_table& add(std::string name, std::string format, std::string help,
                        std::function<bool(Settings&, json const&)> assign)
    {
        rows_.push_back({std::move(name), std::move(format), std::move(help), std::move(assign)});
        return *this;
    }

    [[nodiscard]] row const* find(std::string const& name) const
    {
        for (row const& r : rows_) {
            if (r.name == name) {
                return &r;
            }
        }
        return nullptr;
    }

    std::vector<row> rows_;
};

} // namespace cove
