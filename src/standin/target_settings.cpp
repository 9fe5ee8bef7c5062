#include "standin/target_settings.h"

namespace cove {

namespace {

constexpr int max_count = 100'000;

settings_table<target_settings> make_table()
{
    settings_table<target_settings> t;
    t.text("name", &target_settings::name, "name of this target");
    t.ip_port("address", &target_settings::address, "where entry hosts connect");
    t.integer("slots", &target_settings::slots, 1, max_count, "requests run at the same time");
    t.integer("connections", &target_settings::connections, 1, max_count,
              "connections served at the same time")
        .optional();
    t.integer("queue", &target_settings::queue, 0, max_count, "requests that may wait for a slot")
        .optional();
    t.duration_ms("service_time_ms", &target_settings::service_time, "time a request takes")
        .optional();
    t.integer("spread_percent", &target_settings::spread_percent, 0, 100,
              "by how much the service time varies either way")
        .optional();
    t.duration_ms("connection_cost_ms", &target_settings::connection_cost,
                  "extra time of a connection's first request")
        .optional();
    t.integer("cold_requests", &target_settings::cold_requests, 0, max_count, "requests until warm")
        .optional();
    t.integer("cold_percent", &target_settings::cold_percent, 100, max_count,
              "service time of the first request, falling to 100 percent when warm")
        .optional();
    t.duration_ms("drain_grace_ms", &target_settings::drain_grace,
                  "time after which a leaving target sheds new work")
        .optional();
    t.text("journal", &target_settings::journal, "file that lists every operation").optional();
    return t;
}

} // namespace

settings_table<target_settings> const& target_settings_table()
{
    static settings_table<target_settings> const table = make_table();
    return table;
}

} // namespace cove
