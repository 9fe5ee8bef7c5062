#include "host/host_settings.h"

namespace cove {

namespace {

bool read_regions(host_settings& settings, nlohmann::json const& value)
{
    if (!value.is_object() || value.empty()) {
        return false;
    }
    for (auto const& [zone, region] : value.items()) {
        if (!region.is_string()) {
            return false;
        }
        settings.regions[zone_id(zone)] = region_id(region.get<std::string>());
    }
    return true;
}

settings_table<host_settings> make_table()
{
    using s = host_settings;
    constexpr int last_port = 65535;
    settings_table<s> table;
    table.text("name", &s::name, "name of this host")
        .text("zone", &s::zone, "availability zone of this host")
        .text("region", &s::region, "region of this host")
        .value("regions", "object of zone to region", "the region of every availability zone",
               read_regions)
        .ip_port("client_address", &s::client_address, "where clients send requests")
        .ip_port("readiness_address", &s::readiness_address,
                 "where the platform asks for readiness")
        .ip_port("directory_address", &s::directory_address, "where clients look up entry hosts")
        .ip_port("metrics_address", &s::metrics_address, "where metrics are read, at /metrics")
        .optional()
        .text("ip", &s::ip, "own IP number")
        .whole("peer_port", &s::peer_port, 1, last_port,
               "port of the messages between entry hosts, the same on all")
        .ip_ports("seeds", &s::seeds, "addresses of some entry hosts; only their IP counts")
        .ip_port("store_address", &s::store_address, "the platform's store")
        .duration("heartbeat", &s::heartbeat, "between a target's reports to the store")
        .duration("drain", &s::drain, "after which a leaving target gets no new work")
        .duration("grace", &s::grace, "between SIGTERM and SIGKILL")
        .duration("answer_lifetime_max", &s::answer_lifetime_max,
                  "longest time that a look-up answer counts")
        .number("repeat_ratio", &s::repeat_ratio, "repeats per request, all hosts together")
        .duration("repeat_window", &s::repeat_window, "over which repeats are counted")
        .number("repeat_slack", &s::repeat_slack, "repeats besides, all hosts together")
        .number("shift_cap", &s::shift_cap,
                "share of a region's traffic that may change region in 2 s")
        .flag("first_start", &s::first_start,
              "whether all hosts start together, before there is traffic");
    return table;
}

} // namespace

settings_table<host_settings> const& host_settings_table()
{
    static settings_table<host_settings> const table = make_table();
    return table;
}

} // namespace cove
