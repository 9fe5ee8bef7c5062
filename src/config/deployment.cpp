#include "config/deployment_type.h"

#include <algorithm>

namespace cove {

namespace {

template <class Item, class Id>
Item const* find_by_id(std::vector<Item> const& items, Id const& id)
{
    auto const found = std::ranges::find(items, id, &Item::id);
    return found == items.end() ? nullptr : &*found;
}

} // namespace

service_config const* find_service(deployment const& config, service_id const& id)
{
    return find_by_id(config.services, id);
}

class_config const* find_class(service_config const& service, class_id const& id)
{
    return find_by_id(service.classes, id);
}

zone_config const* find_zone(deployment const& config, zone_id const& id)
{
    return find_by_id(config.zones, id);
}

} // namespace cove
