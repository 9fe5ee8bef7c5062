#include "route/route_table.h"

#include <algorithm>
#include <cctype>

namespace cove {

namespace {

std::string normalized_host(std::string_view host)
{
    std::string key(host.substr(0, host.find(':')));
    std::transform(key.begin(), key.end(), key.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return key;
}

} // namespace

route_table::route_table(routing_config const& config)
{
    for (route_config const& route : config.routes) {
        routes_by_host_[normalized_host(route.host)][route.prefix] =
            std::make_shared<route_config const>(route);
    }
}

std::shared_ptr<route_config const> route_table::find(std::string_view host,
                                                      std::string_view path) const
{
    auto const prefixes = routes_by_host_.find(normalized_host(host));
    if (prefixes == routes_by_host_.end()) {
        return nullptr;
    }
    for (auto end = path.rfind('/'); end != std::string_view::npos;
         end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1)) {
        auto const found = prefixes->second.find(std::string(path.substr(0, end + 1)));
        if (found != prefixes->second.end()) {
            return found->second;
        }
    }
    return nullptr;
}

std::set<region_id> route_table::home_regions(std::string_view host) const
{
    std::set<region_id> out;
    auto const prefixes = routes_by_host_.find(normalized_host(host));
    if (prefixes == routes_by_host_.end()) {
        return out;
    }
    for (auto const& [prefix, route] : prefixes->second) {
        if (route->home_regions.empty()) {
            return {};
        }
        out.insert(route->home_regions.begin(), route->home_regions.end());
    }
    return out;
}

std::string_view path_of(std::string_view request_target)
{
    return request_target.substr(0, request_target.find('?'));
}

} // namespace cove
