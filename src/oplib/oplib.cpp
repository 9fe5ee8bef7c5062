#include "oplib/oplib.h"

#include "config/config_json.h"

#include <iostream>

namespace cove::ops {

namespace {

constexpr std::uint64_t bits_per_byte = 8;

} // namespace

wall_time utc(int year, unsigned month, unsigned day, int hour, int minute)
{
    std::chrono::sys_days const date =
        std::chrono::year(year) / std::chrono::month(month) / std::chrono::day(day);
    return date + std::chrono::hours(hour) + std::chrono::minutes(minute);
}

service_builder& service_builder::idempotent(std::string const& id, int priority,
                                             milliseconds deadline)
{
    service_.classes.push_back({class_id{id}, true, priority, deadline});
    return *this;
}

service_builder& service_builder::non_idempotent(std::string const& id, int priority,
                                                 milliseconds deadline)
{
    service_.classes.push_back({class_id{id}, false, priority, deadline});
    return *this;
}

deployment_builder::deployment_builder(std::string name)
{
    config_.name = std::move(name);
}

deployment_builder& deployment_builder::region(std::string const& id,
                                               std::vector<std::string> const& zones)
{
    config_.regions.emplace_back(id);
    for (std::string const& zone : zones) {
        config_.zones.push_back({zone_id{zone}, region_id{id}});
    }
    return *this;
}

deployment_builder& deployment_builder::link_all_regions(std::uint64_t bits_per_second,
                                                         microseconds latency)
{
    for (std::size_t i = 0; i < config_.regions.size(); ++i) {
        for (std::size_t j = i + 1; j < config_.regions.size(); ++j) {
            config_.links.push_back(
                {config_.regions[i], config_.regions[j], bits_per_second / bits_per_byte, latency});
        }
    }
    return *this;
}

deployment_builder& deployment_builder::shift(shift_config const& limits)
{
    config_.shift = limits;
    return *this;
}

service_builder deployment_builder::service(std::string const& id, int slots, int connections)
{
    config_.services.push_back({service_id{id}, slots, connections, {}});
    return service_builder(config_.services.back());
}

deployment_builder& deployment_builder::event(std::string const& id, std::string const& service,
                                              std::vector<std::string> const& classes,
                                              wall_time start, seconds length, double reserve)
{
    event_config added{id, service_id{service}, {}, start, start + length, reserve};
    for (std::string const& name : classes) {
        added.classes.emplace_back(name);
    }
    config_.events.push_back(std::move(added));
    return *this;
}

deployment_builder& deployment_builder::move(std::string const& id, std::string const& service,
                                             std::string const& from, std::string const& to,
                                             wall_time start, double share, double step,
                                             seconds interval)
{
    config_.moves.push_back({move_id{id}, service_id{service}, zone_id{from}, zone_id{to}, start,
                             share, step, interval});
    return *this;
}

deployment_builder& deployment_builder::site(std::string const& id, std::string const& zone,
                                             std::vector<std::string> const& prefixes)
{
    config_.sites.push_back({site_id{id}, zone_id{zone}});
    std::vector<client_block> blocks;
    for (std::string const& prefix : prefixes) {
        blocks.push_back({prefix, site_id{id}});
    }
    config_.client_blocks.push_back(
        {std::make_shared<std::vector<client_block> const>(std::move(blocks))});
    return *this;
}

result<std::string> deployment_builder::print() const
{
    auto const checked = parse_deployment(print_deployment(config_), config_.name);
    if (!checked) {
        return tl::make_unexpected(checked.error());
    }
    return print_deployment(*checked);
}

int print_configuration(deployment_builder const& described)
{
    auto const text = described.print();
    if (!text) {
        std::cerr << to_string(text.error()) << "\n";
        return 1;
    }
    std::cout << *text;
    return 0;
}

} // namespace cove::ops
