#pragma once
/** @file One table of a program's settings drives parsing, checks and help. */

#include "core/address.h"
#include "core/error.h"
#include "core/time_type.h"

#include <functional>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cove {

/** Parses JSON text. @param source named in the error. */
result<nlohmann::json> parse_json(std::string_view text, std::string const& source);

/** @return the time in @p text, a number and its unit ms or s, or nothing. */
std::optional<milliseconds> parse_duration(std::string_view text);

/** @return the whole file at @p path, or why it cannot be read. */
result<std::string> read_file(std::string const& path);

/**
 * The settings of one program.
 * @tparam Settings the struct that the table fills.
 */
template <class Settings>
class settings_table {
public:
    using json = nlohmann::json;

    /** Adds a text setting. @return this table. */
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
    settings_table& ip_ports(std::string name, std::vector<std::string> Settings::*field,
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

    /** Adds a whole number between @p least and @p most. @return this table. */
    settings_table& whole(std::string name, int Settings::*field, int least, int most,
                          std::string help)
    {
        return add(std::move(name),
                   "whole number " + std::to_string(least) + " to " + std::to_string(most),
                   std::move(help), [=](Settings& s, json const& v) {
                       if (!v.is_number_integer() || v.get<long long>() < least ||
                           v.get<long long>() > most) {
                           return false;
                       }
                       s.*field = v.get<int>();
                       return true;
                   });
    }

    /** Adds a duration, written as a number of milliseconds of zero or more. @return this table. */
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

    /** Adds a duration, written as a number and its unit: 1500ms, 2.5s. @return this table. */
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

    /** Adds a truth value. @return this table. */
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

    /** Adds a number of zero or more. @return this table. */
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
     * Adds a setting of a form of its own.
     * @param form the expected form, for errors and help.
     * @param assign reads the value; false when it has another form.
     * @return this table.
     */
    settings_table& value(std::string name, std::string form, std::string help,
                          std::function<bool(Settings&, json const&)> assign)
    {
        return add(std::move(name), std::move(form), std::move(help), std::move(assign));
    }

    /** Makes the setting added last one that may be left out. @return this table. */
    settings_table& optional()
    {
        rows_.back().required = false;
        return *this;
    }

    /**
     * Reads settings.
     * @param text JSON object text.
     * @param source named in errors.
     * @return the settings, or the first thing wrong with them.
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
                                "missing; expected " + r.form);
                }
            }
            else if (!r.assign(settings, *value)) {
                return fail("settings.check", source + "#/" + r.name,
                            "expected " + r.form + ", found " + value->dump());
            }
        }
        return settings;
    }

    /** @return one line per setting. */
    [[nodiscard]] std::string help() const
    {
        std::string out;
        for (row const& r : rows_) {
            out += "  " + r.name + " (" + r.form + (r.required ? "" : ", optional") +
                   "): " + r.help + "\n";
        }
        return out;
    }

private:
    struct row {
        std::string name;
        std::string form;
        std::string help;
        std::function<bool(Settings&, json const&)> assign;
        bool required = true;
    };

    settings_table& add(std::string name, std::string form, std::string help,
                        std::function<bool(Settings&, json const&)> assign)
    {
        rows_.push_back({std::move(name), std::move(form), std::move(help), std::move(assign)});
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
