#include "standin/link_settings.h"

namespace cove {

settings_table<link_settings> const& link_settings_table()
{
    static settings_table<link_settings> const table = [] {
        settings_table<link_settings> t;
        t.text("name", &link_settings::name, "name of this link in the log");
        t.ip_port("address", &link_settings::address, "address to listen on");
        t.ip_port("to", &link_settings::to, "address to forward connections to");
        t.ip_port("admin_address", &link_settings::admin_address,
                  "address of the HTTP API that changes the link")
            .optional();
        t.duration_ms("delay_ms", &link_settings::delay, "delay added in each direction")
            .optional();
        t.duration_ms("jitter_ms", &link_settings::jitter, "upper bound of an extra random delay")
            .optional();
        t.integer("kilobytes_per_second", &link_settings::kilobytes_per_second, 0,
                  std::numeric_limits<int>::max(),
                  "bandwidth per connection and direction; 0 for no limit")
            .optional();
        return t;
    }();
    return table;
}

} // namespace cove
