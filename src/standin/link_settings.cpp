#include "standin/link_settings.h"

namespace cove {

settings_table<link_settings> const& link_settings_table()
{
    static settings_table<link_settings> const table = [] {
        settings_table<link_settings> t;
        t.text("name", &link_settings::name, "name of this link");
        t.ip_port("address", &link_settings::address, "where connections arrive");
        t.ip_port("to", &link_settings::to, "where they are forwarded");
        t.ip_port("admin_address", &link_settings::admin_address, "where the link is changed")
            .optional();
        t.duration_ms("delay_ms", &link_settings::delay, "delay added each way").optional();
        t.duration_ms("jitter_ms", &link_settings::jitter, "most of a further, random delay")
            .optional();
        t.integer("kilobytes_per_second", &link_settings::kilobytes_per_second, 0,
                  std::numeric_limits<int>::max(), "bandwidth each way; 0 for no limit")
            .optional();
        return t;
    }();
    return table;
}

} // namespace cove
