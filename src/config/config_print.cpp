#include "config/config_json.h"
#include "config/json_reader.h"

namespace cove {

namespace {

using json = nlohmann::ordered_json;

constexpr int indent_columns = 2;

/** @return an array of the results of @p print for each item. */
template <class Items, class Print>
json list_of(Items const& items, Print print)
{
    json out = json::array();
    for (auto const& item : items) {
        out.push_back(print(item));
    }
    return out;
}

json print_link(link_config const& link)
{
    return {{"from", link.from.value},
            {"to", link.to.value},
            {"bytes_per_second", link.bytes_per_second},
            {"latency_us", link.latency.count()}};
}

json print_class(class_config const& item)
{
    return {{"id", item.id.value},
            {"idempotent", item.idempotent},
            {"priority", item.priority},
            {"deadline_ms", item.deadline.count()}};
}

json print_service(service_config const& service)
{
    return {{"id", service.id.value},
            {"slots", service.slots},
            {"connections", service.connections},
            {"classes", list_of(service.classes, print_class)}};
}

json print_event(event_config const& event)
{
    return {{"id", event.id},
            {"service", event.service.value},
            {"classes", list_of(event.classes, [](class_id const& id) { return id.value; })},
            {"start", format_wall_time(event.start)},
            {"end", format_wall_time(event.end)},
            {"reserve", event.reserve}};
}

json print_move(move_config const& move)
{
    return {
        {"id", move.id.value}, {"service", move.service.value},         {"from", move.from.value},
        {"to", move.to.value}, {"start", format_wall_time(move.start)}, {"share", move.share},
        {"step", move.step},   {"interval_s", move.interval.count()}};
}

json print_shift(shift_config const& shift)
{
    return {{"cap", shift.cap},
            {"window_s", shift.window.count()},
            {"answer_lifetime_s", shift.answer_lifetime.count()},
            {"zone_reserve", shift.zone_reserve}};
}

json print_blocks(std::vector<client_block_list> const& lists)
{
    json out = json::array();
    for (client_block_list const& list : lists) {
        for (client_block const& block : *list.blocks) {
            out.push_back({{"prefix", block.prefix}, {"site", block.site.value}});
        }
    }
    return out;
}

} // namespace

nlohmann::ordered_json to_json(deployment const& config)
{
    json out;
    out["name"] = config.name;
    out["regions"] = list_of(config.regions, [](region_id const& id) { return id.value; });
    out["zones"] = list_of(config.zones, [](zone_config const& zone) -> json {
        return {{"id", zone.id.value}, {"region", zone.region.value}};
    });
    out["links"] = list_of(config.links, print_link);
    out["shift"] = print_shift(config.shift);
    out["services"] = list_of(config.services, print_service);
    out["events"] = list_of(config.events, print_event);
    out["moves"] = list_of(config.moves, print_move);
    out["sites"] = list_of(config.sites, [](site_config const& site) -> json {
        return {{"id", site.id.value}, {"zone", site.zone.value}};
    });
    out["client_blocks"] = print_blocks(config.client_blocks);
    return out;
}

std::string print_deployment(deployment const& config)
{
    return to_json(config).dump(indent_columns) + "\n";
}

} // namespace cove
