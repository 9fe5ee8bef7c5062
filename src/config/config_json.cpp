#include "config/config_json.h"

#include "config/config_check.h"
#include "config/json_reader.h"

namespace cove {

namespace {

using json = nlohmann::json;

constexpr std::int64_t max_number = 1'000'000'000'000; ///< largest bytes_per_second
constexpr std::int64_t max_duration_ms = 600'000;      ///< longest deadline
constexpr std::int64_t max_duration_s = 86'400;        ///< longest window or interval
constexpr std::int64_t max_latency_us = 10'000'000;    ///< longest one-way latency

zone_config read_zone(json const& in, json_pointer const& location)
{
    object_reader from(in, location);
    zone_config out{zone_id{from.text("id")}, region_id{from.text("region")}};
    from.finish();
    return out;
}

link_config read_link(json const& in, json_pointer const& location)
{
    object_reader from(in, location);
    link_config out;
    out.from = region_id{from.text("from")};
    out.to = region_id{from.text("to")};
    out.bytes_per_second =
        static_cast<std::uint64_t>(from.integer("bytes_per_second", 1, max_number));
    out.latency = microseconds(from.integer("latency_us", 0, max_latency_us));
    from.finish();
    return out;
}

class_config read_class(json const& in, json_pointer const& location)
{
    object_reader from(in, location);
    class_config out;
    out.id = class_id{from.text("id")};
    out.idempotent = from.boolean("idempotent");
    out.priority = static_cast<int>(from.integer("priority", 0, 1000));
    out.deadline = milliseconds(from.integer("deadline_ms", 1, max_duration_ms));
    from.finish();
    return out;
}

service_config read_service(json const& in, json_pointer const& location)
{
    object_reader from(in, location);
    service_config out;
    out.id = service_id{from.text("id")};
    out.slots = static_cast<int>(from.integer("slots", 1, 1'000'000));
    out.connections = static_cast<int>(from.integer("connections", 1, 1'000'000));
    out.classes = from.list<class_config>("classes", read_class);
    from.finish();
    return out;
}

event_config read_event(json const& in, json_pointer const& location)
{
    object_reader from(in, location);
    event_config out;
    out.id = from.text("id");
    out.service = service_id{from.text("service")};
    out.classes =
        from.list<class_id>("classes", [](json const& item, json_pointer const& item_place) {
            return class_id{read_text(item, item_place)};
        });
    out.start = from.time("start");
    out.end = from.time("end");
    out.reserve = from.share("reserve", true);
    from.finish();
    return out;
}

move_config read_move(json const& in, json_pointer const& location)
{
    object_reader from(in, location);
    move_config out;
    out.id = move_id{from.text("id")};
    out.service = service_id{from.text("service")};
    out.from = zone_id{from.text("from")};
    out.to = zone_id{from.text("to")};
    out.start = from.time("start");
    out.share = from.share("share", false);
    out.step = from.share("step", false);
    out.interval = seconds(from.integer("interval_s", 1, max_duration_s));
    from.finish();
    return out;
}

shift_config read_shift(object_reader from)
{
    shift_config out;
    out.cap = from.share("cap", false);
    out.window = seconds(from.integer("window_s", 1, max_duration_s));
    out.answer_lifetime = seconds(from.integer("answer_lifetime_s", 1, max_duration_s));
    out.zone_reserve = from.share("zone_reserve", true);
    from.finish();
    return out;
}

site_config read_site(json const& in, json_pointer const& location)
{
    object_reader from(in, location);
    site_config out{site_id{from.text("id")}, zone_id{from.text("zone")}};
    from.finish();
    return out;
}

client_block read_block(json const& in, json_pointer const& location)
{
    object_reader from(in, location);
    client_block out{from.text("prefix"), site_id{from.text("site")}};
    from.finish();
    return out;
}

region_id read_region(json const& in, json_pointer const& location)
{
    return region_id{read_text(in, location)};
}

void read_places(object_reader& from, deployment& out)
{
    if (from.has("regions")) {
        out.regions = from.list<region_id>("regions", read_region);
    }
    if (from.has("zones")) {
        out.zones = from.list<zone_config>("zones", read_zone);
    }
    if (from.has("links")) {
        out.links = from.list<link_config>("links", read_link);
    }
    if (from.has("shift")) {
        out.shift = read_shift(from.object("shift"));
    }
}

void read_clients(object_reader& from, deployment& out)
{
    if (from.has("sites")) {
        out.sites = from.list<site_config>("sites", read_site);
    }
    if (from.has("client_blocks")) {
        out.client_blocks.push_back({std::make_shared<std::vector<client_block> const>(
            from.list<client_block>("client_blocks", read_block))});
    }
}

deployment read_fragment(json const& in)
{
    object_reader from(in, json_pointer());
    deployment out;
    if (from.has("name")) {
        out.name = from.text("name");
    }
    read_places(from, out);
    if (from.has("services")) {
        out.services = from.list<service_config>("services", read_service);
    }
    if (from.has("events")) {
        out.events = from.list<event_config>("events", read_event);
    }
    if (from.has("moves")) {
        out.moves = from.list<move_config>("moves", read_move);
    }
    read_clients(from, out);
    from.finish();
    return out;
}

deployment read_deployment(json const& in)
{
    object_reader from(in, json_pointer());
    for (char const* key : {"name", "zones", "services"}) {
        if (!from.has(key)) {
            throw format_error{json_pointer() / key, "missing; required in every configuration"};
        }
    }
    deployment out = read_fragment(in);
    check_deployment(out);
    normalize(out);
    return out;
}

result<deployment> read_with(std::string_view text, std::string const& source,
                             deployment (*read)(json const&))
{
    try {
        return read(parse_unique_keys(text));
    }
    catch (json::exception const& error) {
        return fail("json.parse", source + "#", error.what());
    }
    catch (format_error const& error) {
        return fail("config.check", source + "#" + error.location.to_string(), error.message);
    }
}

} // namespace

result<deployment> parse_deployment(std::string_view text, std::string const& source)
{
    return read_with(text, source, read_deployment);
}

result<deployment> parse_fragment(std::string_view text, std::string const& source)
{
    return read_with(text, source, read_fragment);
}

} // namespace cove
