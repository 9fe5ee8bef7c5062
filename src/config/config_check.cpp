#include "config/config_check.h"

#include "config/json_reader.h"
#include "core/hash_func.h"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <cmath>
#include <unordered_set>

namespace cove {

namespace {

/** The number of client block lists is doubled until they have at most this many on average. */
constexpr std::size_t blocks_per_list = 512;
constexpr double share_tolerance = 1e-9; ///< tolerated rounding error of shares

json_pointer item_pointer(char const* list, std::size_t index)
{
    return json_pointer() / list / index;
}

void require(bool holds, json_pointer const& location, std::string const& message)
{
    if (!holds) {
        throw format_error{location, message};
    }
}

/**
 * Throws when two items of an array have the same key.
 * @param field the items' member that is the key, for the error; empty if it is the whole item.
 */
template <class Items, class Key>
void require_unique(Items const& items, json_pointer const& list, char const* field, Key key)
{
    std::unordered_set<std::string> seen;
    for (std::size_t i = 0; i < items.size(); ++i) {
        std::string const value = key(items[i]);
        json_pointer const location = list / i;
        require(seen.insert(value).second, *field == '\0' ? location : location / field,
                "expected unique values, found \"" + value + "\" more than once");
    }
}

template <class Items>
void require_unique_ids(Items const& items, json_pointer const& list)
{
    require_unique(items, list, "id", [](auto const& item) { return item.id.value; });
}

void require_zone(deployment const& config, zone_id const& id, json_pointer const& location)
{
    require(find_zone(config, id) != nullptr, location,
            "expected the id of a zone in zones, found \"" + id.value + "\"");
}

service_config const& require_service(deployment const& config, service_id const& id,
                                      json_pointer const& location)
{
    service_config const* service = find_service(config, id);
    require(service != nullptr, location,
            "expected the id of a service in services, found \"" + id.value + "\"");
    return *service;
}

void require_region(deployment const& config, region_id const& id, json_pointer const& location)
{
    bool const declared =
        config.regions.empty() || std::ranges::find(config.regions, id) != config.regions.end();
    bool const has_zone =
        std::ranges::find(config.zones, id, &zone_config::region) != config.zones.end();
    require(declared && has_zone, location,
            "expected a declared region that has a zone, found \"" + id.value + "\"");
}

void check_places(deployment const& config)
{
    require_unique(config.regions, json_pointer() / "regions", "",
                   [](region_id const& id) { return id.value; });
    require_unique_ids(config.zones, json_pointer() / "zones");
    for (std::size_t i = 0; i < config.zones.size(); ++i) {
        require_region(config, config.zones[i].region, item_pointer("zones", i) / "region");
    }
    for (std::size_t i = 0; i < config.links.size(); ++i) {
        link_config const& link = config.links[i];
        require_region(config, link.from, item_pointer("links", i) / "from");
        require_region(config, link.to, item_pointer("links", i) / "to");
        require(link.from != link.to, item_pointer("links", i) / "to",
                "expected two different regions");
    }
    require_unique(config.links, json_pointer() / "links", "", [](link_config const& link) {
        return std::min(link.from.value, link.to.value) + " and " +
               std::max(link.from.value, link.to.value);
    });
}

void check_services(deployment const& config)
{
    require_unique_ids(config.services, json_pointer() / "services");
    for (std::size_t i = 0; i < config.services.size(); ++i) {
        json_pointer const classes = item_pointer("services", i) / "classes";
        require(!config.services[i].classes.empty(), classes, "expected at least one class");
        require_unique_ids(config.services[i].classes, classes);
    }
}

void check_events(deployment const& config)
{
    require_unique(config.events, json_pointer() / "events", "id",
                   [](event_config const& event) { return event.id; });
    for (std::size_t i = 0; i < config.events.size(); ++i) {
        event_config const& event = config.events[i];
        json_pointer const location = item_pointer("events", i);
        service_config const& service =
            require_service(config, event.service, location / "service");
        for (std::size_t j = 0; j < event.classes.size(); ++j) {
            require(find_class(service, event.classes[j]) != nullptr, location / "classes" / j,
                    "expected a class of " + service.id.value + ", found \"" +
                        event.classes[j].value + "\"");
        }
        require(event.end > event.start, location / "end", "expected a time after start");
    }
}

/** @return the largest share that @p move shifts within one window. */
double share_per_window(move_config const& move, shift_config const& shift)
{
    auto const steps = (shift.window + move.interval - seconds(1)) / move.interval;
    return std::min(move.share, move.step * static_cast<double>(steps));
}

void check_overlap(deployment const& config, std::size_t index)
{
    move_config const& move = config.moves[index];
    for (std::size_t i = 0; i < index; ++i) {
        move_config const& other = config.moves[i];
        bool const disjoint = move.start >= end_time(other) || other.start >= end_time(move);
        require(other.service != move.service || disjoint, item_pointer("moves", index) / "start",
                "expected no overlap with another move of " + move.service.value +
                    "; it overlaps " + other.id.value);
    }
}

void check_moves(deployment const& config)
{
    require_unique_ids(config.moves, json_pointer() / "moves");
    for (std::size_t i = 0; i < config.moves.size(); ++i) {
        move_config const& move = config.moves[i];
        json_pointer const location = item_pointer("moves", i);
        require_service(config, move.service, location / "service");
        require_zone(config, move.from, location / "from");
        require_zone(config, move.to, location / "to");
        require(move.from != move.to, location / "to", "expected two different zones");
        require(share_per_window(move, config.shift) <= config.shift.cap + share_tolerance,
                location / "step", "expected steps that shift at most shift/cap in any window");
        check_overlap(config, i);
    }
}

/** @return whether @p text is an IP network in CIDR notation. */
bool is_prefix(std::string const& text)
{
    std::size_t const slash = text.find('/');
    if (slash == std::string::npos) {
        return false;
    }
    std::string const ip = text.substr(0, slash);
    int length = -1;
    char const* const end = text.data() + text.size();
    auto const parsed = std::from_chars(text.data() + slash + 1, end, length);
    if (parsed.ec != std::errc{} || parsed.ptr != end || length < 0) {
        return false;
    }
    unsigned char bytes[sizeof(in6_addr)];
    return (inet_pton(AF_INET, ip.c_str(), bytes) == 1 && length <= 32) ||
           (inet_pton(AF_INET6, ip.c_str(), bytes) == 1 && length <= 128);
}

std::vector<client_block> all_blocks(deployment const& config)
{
    std::vector<client_block> blocks;
    for (client_block_list const& list : config.client_blocks) {
        blocks.insert(blocks.end(), list.blocks->begin(), list.blocks->end());
    }
    return blocks;
}

void check_clients(deployment const& config)
{
    require_unique_ids(config.sites, json_pointer() / "sites");
    std::unordered_set<site_id> sites;
    for (std::size_t i = 0; i < config.sites.size(); ++i) {
        require_zone(config, config.sites[i].zone, item_pointer("sites", i) / "zone");
        sites.insert(config.sites[i].id);
    }
    auto const blocks = all_blocks(config);
    for (std::size_t i = 0; i < blocks.size(); ++i) {
        require(is_prefix(blocks[i].prefix), item_pointer("client_blocks", i) / "prefix",
                "expected a CIDR network such as 192.0.2.0/24, found \"" + blocks[i].prefix + "\"");
        require(sites.contains(blocks[i].site), item_pointer("client_blocks", i) / "site",
                "expected the id of a site in sites, found \"" + blocks[i].site.value + "\"");
    }
    require_unique(blocks, json_pointer() / "client_blocks", "prefix",
                   [](client_block const& block) { return block.prefix; });
}

void normalize_blocks(deployment& config)
{
    auto blocks = all_blocks(config);
    std::ranges::sort(blocks, {}, &client_block::prefix);
    std::size_t lists = 1;
    while (lists * blocks_per_list < blocks.size()) {
        lists *= 2;
    }
    std::vector<std::vector<client_block>> spread(blocks.empty() ? 0 : lists);
    for (client_block& block : blocks) {
        auto& list = spread[stable_hash(block.prefix) % lists];
        list.push_back(std::move(block));
    }
    config.client_blocks.clear();
    for (auto& list : spread) {
        config.client_blocks.push_back(
            {std::make_shared<std::vector<client_block> const>(std::move(list))});
    }
}

} // namespace

void check_deployment(deployment const& config)
{
    check_places(config);
    check_services(config);
    check_events(config);
    check_moves(config);
    check_clients(config);
}

void normalize(deployment& config)
{
    if (config.regions.empty()) {
        for (zone_config const& zone : config.zones) {
            if (std::ranges::find(config.regions, zone.region) == config.regions.end()) {
                config.regions.push_back(zone.region);
            }
        }
    }
    std::ranges::sort(config.sites, {}, &site_config::id);
    normalize_blocks(config);
}

wall_time end_time(move_config const& move)
{
    auto const steps =
        static_cast<std::int64_t>(std::ceil(move.share / move.step - share_tolerance));
    return move.start + move.interval * steps;
}

} // namespace cove
