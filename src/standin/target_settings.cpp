#include "standin/target_settings.h"

namespace cove {

namespace {

constexpr int max_count = 100'000;

settings_table<target_settings> make_table()
{
    settings_table<target_settings> t;
    t.text("name", &target_settings::name, "name of this target");
    t.ip_port("address", &target_settings::address, "address to listen on for entry hosts");
    t.integer("slots", &target_settings::slots, 1, max_count, "maximum concurrent requests");
    t.integer("connections", &target_settings::connections, 1, max_count,
              "maximum open connections; above it, requests are shed")
        .optional();
    t.integer("queue", &target_settings::queue, 0, max_count, "maximum requests waiting for a slot")
        .optional();
    t.duration_ms("service_time_ms", &target_settings::service_time,
                  "mean service time of a request")
        .optional();
    t.integer("spread_percent", &target_settings::spread_percent, 0, 100,
              "maximum deviation of the service time from its mean")
        .optional();
    t.duration_ms("connection_cost_ms", &target_settings::connection_cost,
                  "extra service time of the first request of a connection")
        .optional();
    t.integer("cold_requests", &target_settings::cold_requests, 0, max_count,
              "number of requests until the target is warm")
        .optional();
    t.integer("cold_percent", &target_settings::cold_percent, 100, max_count,
              "service time of the first request, decreasing linearly to 100 percent when warm")
        .optional();
    t.duration_ms("drain_grace_ms", &target_settings::drain_grace,
                  "time after which a leaving target sheds new requests")
        .optional();
    t.text("journal", &target_settings::journal, "file to which every operation is appended")
        .optional();
    return t;
}

} // namespace

settings_table<target_settings> const& target_settings_table()
{
    static settings_table<target_settings> const table = make_table();
    return table;
}

} // namespace cove
