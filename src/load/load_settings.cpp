#include "load/load_settings.h"

namespace cove {

namespace {

using json = nlohmann::json;

constexpr int max_threads = 4000;
constexpr int max_callers = 1'000'000;
constexpr int max_body_bytes = 1'000'000;
constexpr int percent = 100;

/** @return whether @p value is an object with just the keys @p names. */
bool has_keys(json const& value, std::initializer_list<char const*> names)
{
    if (!value.is_object() || value.size() != names.size()) {
        return false;
    }
    return std::ranges::all_of(names, [&](char const* name) { return value.contains(name); });
}

bool is_rate(json const& value)
{
    return value.is_number() && value.get<double>() >= 0;
}

bool read_classes(load_settings& settings, json const& value)
{
    if (!value.is_array() || value.empty()) {
        return false;
    }
    for (json const& item : value) {
        if (!has_keys(item, {"service", "class", "idempotent", "share", "timeout_ms"}) ||
            !item["service"].is_string() || !item["class"].is_string() ||
            !item["idempotent"].is_boolean() || !is_rate(item["share"]) ||
            !item["timeout_ms"].is_number_unsigned()) {
            return false;
        }
        settings.classes.push_back({service_id{item["service"]}, class_id{item["class"]},
                                    item["idempotent"], item["share"],
                                    milliseconds(item["timeout_ms"].get<std::int64_t>())});
    }
    return true;
}

bool read_profile(load_settings& settings, json const& value)
{
    if (!value.is_array() || value.empty()) {
        return false;
    }
    for (json const& item : value) {
        if (!has_keys(item, {"at_ms", "rate"}) || !item["at_ms"].is_number_unsigned() ||
            !is_rate(item["rate"])) {
            return false;
        }
        milliseconds const at(item["at_ms"].get<std::int64_t>());
        if (!settings.profile.empty() && at <= settings.profile.back().at) {
            return false;
        }
        settings.profile.push_back({at, item["rate"]});
    }
    return true;
}

void add_traffic(settings_table<load_settings>& t)
{
    t.value("classes", "list of {service, class, idempotent, share, timeout_ms}",
            "kinds of requests", read_classes);
    t.value("profile", "list of {at_ms, rate}, rising in at_ms",
            "requests per second from each time on", read_profile);
    t.duration_ms("duration_ms", &load_settings::duration, "time in which requests start")
        .optional();
    t.duration_ms("patience_ms", &load_settings::patience,
                  "time after which a caller without a final answer gives up")
        .optional();
    t.integer("callers", &load_settings::callers, 1, max_callers,
              "callers that each cache their look-up answer")
        .optional();
    t.integer("comebacks", &load_settings::comebacks, 0, percent,
              "times that a caller comes back after Retry-After")
        .optional();
    t.integer("press_twice_percent", &load_settings::press_twice_percent, 0, percent,
              "share of requests also sent to a second entry host")
        .optional();
    t.integer("cancel_percent", &load_settings::cancel_percent, 0, percent,
              "share of requests cancelled by the caller")
        .optional();
    t.integer("body_bytes", &load_settings::body_bytes, 0, max_body_bytes,
              "length of a request body")
        .optional();
}

settings_table<load_settings> make_table()
{
    settings_table<load_settings> t;
    t.text("name", &load_settings::name, "name of this run").optional();
    t.ip_port_list("lookup_addresses", &load_settings::lookup_addresses,
                   "look-up processes; each caller prefers one, then tries the others")
        .optional();
    t.ip_port_list("target_addresses", &load_settings::target_addresses,
                   "targets to call directly, without the system")
        .optional();
    add_traffic(t);
    t.integer("threads", &load_settings::threads, 1, max_threads, "requests in progress at most")
        .optional();
    t.integer("seed", &load_settings::seed, 0, std::numeric_limits<int>::max(),
              "seed of arrivals and choices")
        .optional();
    t.text("report_file", &load_settings::report_file, "JSON report to write").optional();
    t.text("operation_file", &load_settings::operation_file,
           "file for one JSON line per operation id and its final answer")
        .optional();
    return t;
}

} // namespace

settings_table<load_settings> const& load_settings_table()
{
    static settings_table<load_settings> const table = make_table();
    return table;
}

} // namespace cove
