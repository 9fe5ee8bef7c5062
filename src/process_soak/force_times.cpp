#include "process_soak/force_times.h"

#include <algorithm>
#include <ctime>
#include <fstream>
#include <sstream>

namespace cove {

namespace {

/** @return the value of @p field in a line of a log, or an empty text. */
std::string field_of(std::string const& line, std::string const& field)
{
    std::istringstream words(line);
    for (std::string word; words >> word;) {
        if (word.starts_with(field + "=")) {
            return word.substr(field.size() + 1);
        }
    }
    return "";
}

/** @return the time since the start of the wall clock, or zero if @p text is no local time. */
milliseconds parse_log_time(std::string const& text)
{
    constexpr int year_base = 1900;
    std::tm fields{};
    int ms = 0;
    constexpr int field_count = 7;
    if (std::sscanf(text.c_str(), "%d-%d-%dT%d:%d:%d.%d", &fields.tm_year, &fields.tm_mon,
                    &fields.tm_mday, &fields.tm_hour, &fields.tm_min, &fields.tm_sec,
                    &ms) != field_count) {
        return milliseconds{0};
    }
    fields.tm_year -= year_base;
    --fields.tm_mon;
    fields.tm_isdst = -1;
    return seconds(std::mktime(&fields)) + milliseconds(ms);
}

bool in_touch(run_record const& record, std::string const& host, mono_time from, mono_time to)
{
    return std::none_of(record.disturbances.begin(), record.disturbances.end(),
                        [&](disturbance const& each) {
                            return (each.place == host || each.place == everywhere) &&
                                   each.begin <= to && (!each.end || *each.end >= from);
                        });
}

} // namespace

std::vector<config_activation> read_activations(std::string const& path, std::string const& host,
                                                mono_time log_epoch)
{
    std::vector<config_activation> out;
    std::ifstream log(path);
    for (std::string line; std::getline(log, line);) {
        std::string const version = field_of(line, "version");
        if (field_of(line, "event") == "config_in_force" && !version.empty()) {
            out.push_back(
                {host, std::stoi(version), log_epoch + parse_log_time(field_of(line, "time"))});
        }
    }
    return out;
}

std::vector<force_time> last_activations(run_record const& record, rule_bounds const& bounds,
                                         std::vector<config_activation> const& activations,
                                         mono_time end)
{
    std::map<std::string, std::vector<config_activation const*>> by_host;
    for (config_activation const& each : activations) {
        by_host[each.host].push_back(&each);
    }
    std::vector<force_time> out;
    for (config_change const& change : record.configs) {
        force_time last{change.version, "", milliseconds{0}};
        for (auto const& [host, own] : by_host) {
            auto const found = std::find_if(own.begin(), own.end(), [&](auto const* each) {
                return each->version >= change.version;
            });
            mono_time const at = found == own.end() ? end : (*found)->at;
            auto const late = std::chrono::duration_cast<milliseconds>(at - change.acknowledged);
            if (late > last.late &&
                in_touch(record, host, change.acknowledged - bounds.contact, at)) {
                last = {change.version, host, late};
            }
        }
        out.push_back(last);
    }
    return out;
}

} // namespace cove
