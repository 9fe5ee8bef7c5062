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
    constexpr int max_memory_mb = 1 << 20;
    constexpr int max_file_descriptors = 1 << 24;
    settings_table<s> table;
    table.text("name", &s::name, "name of this host")
        .text("zone", &s::zone, "availability zone of this host")
        .text("region", &s::region, "region of this host")
        .value("regions", "object that maps zone to region", "region of every availability zone",
               read_regions)
        .ip_port("client_address", &s::client_address, "address on which clients send requests")
        .ip_port("readiness_address", &s::readiness_address,
                 "address on which the platform checks readiness")
        .ip_port("directory_address", &s::directory_address,
                 "address on which clients look up entry hosts")
        .ip_port("metrics_address", &s::metrics_address,
                 "address on which metrics are served, at /metrics")
        .optional()
        .text("ip", &s::ip, "IP address of this host")
        .integer("peer_port", &s::peer_port, 1, last_port,
                 "port for messages between entry hosts, the same on all hosts")
        .integer("relay_port", &s::relay_port, 1, last_port,
                 "port for requests that other entry hosts relay, the same on all hosts")
        .ip_port_list("seeds", &s::seeds, "addresses of some entry hosts; the port is ignored")
        .ip_port("store_address", &s::store_address, "address of the platform's store")
        .duration("store_silence_max", &s::store_silence_max,
                  "time within which a silent connection to the store is replaced and its changes "
                  "are in force")
        .optional()
        .duration("heartbeat", &s::heartbeat, "interval between a target's reports to the store")
        .duration("drain", &s::drain, "time after which a leaving target gets no new requests")
        .duration("grace", &s::grace, "time between SIGTERM and SIGKILL")
        .duration("answer_lifetime_max", &s::answer_lifetime_max,
                  "longest time for which clients may cache a look-up answer")
        .number("repeat_ratio", &s::retry_ratio, "retries allowed per request, over all hosts")
        .duration("repeat_window", &s::retry_window, "time over which retries are counted")
        .number("repeat_slack", &s::retry_slack,
                "retries allowed on top of the ratio, over all hosts")
        .number("shift_cap", &s::shift_cap,
                "share of a region's traffic that may move to other regions within 2 s")
        .duration("crash_retention", &s::crash_retention,
                  "time for which a request that ended targets stays blocked; 0s: not blocked")
        .optional()
        .integer("memory_mb", &s::memory_mb, 1, max_memory_mb, "memory that this host may use, MiB")
        .optional()
        .integer("max_descriptors", &s::max_descriptors, 0, max_file_descriptors,
                 "file descriptors that this host may use; 0: the process limit")
        .optional()
        .duration("key_withdrawal_max", &s::key_withdrawal_max,
                  "time after which no request with a withdrawn key may run; 0s: no bound")
        .optional()
        .duration("quota_window", &s::quota_window,
                  "time over which the quota of a workspace is checked")
        .optional()
        .number("quota_overage", &s::quota_overage,
                "share of a quota by which all hosts together may exceed it")
        .optional()
        .number("quota_slack", &s::quota_slack,
                "requests by which all hosts together may exceed a quota")
        .optional()
        .flag("first_start", &s::first_start,
              "whether all hosts start together, before any client traffic");
    return table;
}

} // namespace

settings_table<host_settings> const& host_settings_table()
{
    static settings_table<host_settings> const table = make_table();
    return table;
}

} // namespace cove
