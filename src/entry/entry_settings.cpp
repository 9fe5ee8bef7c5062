#include "entry/entry_settings.h"

namespace cove {

settings_table<entry_settings> const& entry_settings_table()
{
    static settings_table<entry_settings> const table = [] {
        settings_table<entry_settings> t;
        t.text("node", &entry_settings::node, "id of this entry host");
        t.text("zone", &entry_settings::zone, "availability zone of this entry host");
        t.ip_port("caller_address", &entry_settings::caller_address,
                  "address to listen on for callers");
        t.ip_port("peer_address", &entry_settings::peer_address, "address to listen on for peers");
        t.ip_port("publish_address", &entry_settings::publish_address,
                  "address to listen on for look-up processes");
        t.ip_port("bridge_address", &entry_settings::bridge_address,
                  "address of the bridge of this host")
            .optional();
        t.text("config_file", &entry_settings::config_file, "file with the initial configuration")
            .optional();
        t.text("host_list_file", &entry_settings::host_list_file, "file with the initial host list")
            .optional();
        t.text(
             "steering_policy", &entry_settings::steering_policy,
             "grants (default); for experiments: nearest, equal-spread, reported-load or uncapped")
            .optional();
        return t;
    }();
    return table;
}

} // namespace cove
