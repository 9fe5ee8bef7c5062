#pragma once
/** @file Maps the host and path of a request to its route. */

#include "route/route_type.h"

#include <memory>
#include <set>
#include <string_view>
#include <unordered_map>

namespace cove {

/** The routes of one configuration version, matched by host and longest path prefix. */
class route_table {
public:
    explicit route_table(routing_config const& config);

    /**
     * Takes one hash lookup per slash in the path, independent of the number of routes.
     * @param host the Host header of the client; port and case are ignored.
     * @param path without the query string.
     * @return the route with the longest prefix of @p path, or null.
     */
    [[nodiscard]] std::shared_ptr<route_config const> find(std::string_view host,
                                                           std::string_view path) const;

    /**
     * @return the regions that clients of @p host may be sent to; empty means any. Clients look up
     * a host rather than a route, so the restriction applies only if every route of the host has
     * home regions.
     */
    [[nodiscard]] std::set<region_id> home_regions(std::string_view host) const;

private:
    using prefix_map = std::unordered_map<std::string, std::shared_ptr<route_config const>>;
    std::unordered_map<std::string, prefix_map> routes_by_host_;
};

/** @return the path of an HTTP request target, without the query string. */
std::string_view path_of(std::string_view request_target);

} // namespace cove
