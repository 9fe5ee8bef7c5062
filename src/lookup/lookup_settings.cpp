#include "lookup/lookup_settings.h"

namespace cove {

settings_table<lookup_settings> const& lookup_settings_table()
{
    static settings_table<lookup_settings> const table = [] {
        settings_table<lookup_settings> t;
        t.text("name", &lookup_settings::name, "name of this process in the log");
        t.text("zone", &lookup_settings::zone, "availability zone of this process");
        t.ip_port("caller_address", &lookup_settings::caller_address,
                  "address on which callers are served");
        t.ip_port_list("entry_addresses", &lookup_settings::entry_addresses,
                       "publish addresses of the zone's entry hosts");
        return t;
    }();
    return table;
}

} // namespace cove
