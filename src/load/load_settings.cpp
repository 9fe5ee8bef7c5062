#include "load/load_settings.h"

namespace cove {

namespace {

using json = nlohmann::json;

constexpr int max_threads = 4000;
constexpr int max_callers = 1'000'000;
constexpr int max_body_bytes = 1'000'000;
constexpr int percent = 100;

/** @return whether @p value is an object with exactly the keys @p names. */
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
            "requests per second starting at each time", read_profile);
    t.duration_ms("duration_ms", &load_settings::duration, "time in which requests start")
        .optional();
    t.duration_ms("patience_ms", &load_settings::client_timeout,
                  "time after which a caller gives up a request that keeps failing")
        .optional();
    t.integer("callers", &load_settings::callers, 1, max_callers,
              "number of simulated callers, each with its own look-up cache")
        .optional();
    t.integer("comebacks", &load_settings::max_retries, 0, percent,
              "maximum retries of a request under a new operation id after Retry-After")
        .optional();
    t.integer("press_twice_percent", &load_settings::duplicate_percent, 0, percent,
              "percentage of requests also sent to a second entry host")
        .optional();
    t.integer("cancel_percent", &load_settings::cancel_percent, 0, percent,
              "percentage of requests cancelled by the caller")
        .optional();
    t.integer("body_bytes", &load_settings::body_bytes, 0, max_body_bytes,
              "minimum length of a request body")
        .optional();
}

settings_table<load_settings> make_table()
{
    settings_table<load_settings> t;
    t.text("name", &load_settings::name, "name of this run").optional();
    t.ip_port_list(
         "lookup_addresses", &load_settings::lookup_addresses,
         "look-up processes; each caller has a preferred one and falls back to the others")
        .optional();
    t.ip_port_list("target_addresses", &load_settings::target_addresses,
                   "targets to call directly, bypassing look-up and entry hosts")
        .optional();
    add_traffic(t);
    t.integer("threads", &load_settings::threads, 1, max_threads,
              "worker threads, which limit the requests in progress")
        .optional();
    t.integer("seed", &load_settings::seed, 0, std::numeric_limits<int>::max(),
              "seed of the random number generators")
        .optional();
    t.text("report_file", &load_settings::report_file, "file for the JSON report").optional();
    t.text("operation_file", &load_settings::operation_file,
           "file for one JSON line per final answer to an operation")
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
