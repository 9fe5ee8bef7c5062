#pragma once
/** @file Finds the route of a request. */

#include "route/route_type.h"

#include <memory>
#include <set>
#include <string_view>
#include <unordered_map>

namespace cove {

/** The routes of one configuration, by host and longest path prefix. */
class route_table {
public:
    explicit route_table(routing_config const& config);

    /**
     * Looks at each slash of the path once, whatever the number of routes.
     * @param host as the client sent it; a port is ignored, case too.
     * @param path without the query.
     * @return the route with the longest prefix of @p path, or null.
     */
    [[nodiscard]] std::shared_ptr<route_config const> find(std::string_view host,
                                                           std::string_view path) const;

    /**
     * @return the regions that clients of @p host may be sent to; empty: any. Clients look up a
     * host, not a route, so its homes bind only when all its routes have homes.
     */
    [[nodiscard]] std::set<region_id> home_regions(std::string_view host) const;

private:
    using by_prefix = std::unordered_map<std::string, std::shared_ptr<route_config const>>;
    std::unordered_map<std::string, by_prefix> hosts_;
};

/** @return the path of a request target: what precedes the query. */
std::string_view path_of(std::string_view request_target);

} // namespace cove
