#include "bridge/bridge_settings.h"

namespace cove {

settings_table<bridge_settings> const& bridge_settings_table()
{
    static settings_table<bridge_settings> const table = [] {
        settings_table<bridge_settings> t;
        t.text("node", &bridge_settings::node, "id of the entry host that it serves");
        t.ip_port("bridge_address", &bridge_settings::bridge_address,
                  "address to listen on for the entry process of this host");
        t.ip_port("entry_address", &bridge_settings::entry_address,
                  "peer address of the entry process of this host");
        t.ip_port("store_address", &bridge_settings::store_address, "the platform's object store");
        t.duration_ms("call_timeout_ms", &bridge_settings::call_timeout,
                      "timeout of a call to the store")
            .optional();
        t.duration_ms("watch_wait_ms", &bridge_settings::watch_wait,
                      "longest wait of one watch (long poll) at the store")
            .optional();
        t.duration_ms(
             "poll_interval_ms", &bridge_settings::poll_interval,
             "time between reads of the host list while bridges of other hosts watch the store")
            .optional();
        return t;
    }();
    return table;
}

} // namespace cove
