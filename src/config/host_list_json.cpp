#include "config/config_json.h"

#include "settings/settings_table.h"

namespace cove {

namespace {

using json = nlohmann::json;

host_state read_state(json const& in)
{
    return in.at("state").get<std::string>() == "live" ? host_state::live : host_state::leaving;
}

host_list read_host_list(json const& in)
{
    host_list out;
    out.version = in.at("version").get<std::uint64_t>();
    for (json const& item : in.at("entry_hosts")) {
        out.entry_hosts.push_back({node_id{item.at("id").get<std::string>()},
                                   zone_id{item.at("zone").get<std::string>()},
                                   item.at("caller_address").get<std::string>(),
                                   item.at("peer_address").get<std::string>(), read_state(item)});
    }
    for (json const& item : in.at("targets")) {
        out.targets.push_back({target_id{item.at("id").get<std::string>()},
                               service_id{item.at("service").get<std::string>()},
                               zone_id{item.at("zone").get<std::string>()},
                               item.at("address").get<std::string>(), read_state(item)});
    }
    return out;
}

} // namespace

result<host_list> parse_host_list(std::string_view text, std::string const& source)
{
    auto const parsed = parse_json(text, source);
    if (!parsed) {
        return tl::make_unexpected(parsed.error());
    }
    try {
        return read_host_list(*parsed);
    }
    catch (json::exception const& error) {
        return fail("config.parse", source, error.what());
    }
}

} // namespace cove
