#pragma once
/**
 * @file Library for operators: declares regions, zones, services, events and planned moves in C++
 * and prints them as the configuration that covectl submits.
 */

#include "config/deployment_type.h"
#include "core/error.h"

namespace cove::ops {

/** @return the point in time with the given UTC date and time of day. */
wall_time utc(int year, unsigned month, unsigned day, int hour, int minute);

/** Adds request classes to one service. */
class service_builder {
public:
    explicit service_builder(service_config& service) : service_(service) {}

    /**
     * Adds a class whose requests may be executed more than once.
     * @param priority requests with a lower value are served first.
     * @return this builder.
     */
    service_builder& idempotent(std::string const& id, int priority, milliseconds deadline);

    /** Adds a class whose requests are executed at most once. @return this builder. */
    service_builder& non_idempotent(std::string const& id, int priority, milliseconds deadline);

private:
    service_config& service_;
};

/** Builds the configuration of a deployment. */
class deployment_builder {
public:
    explicit deployment_builder(std::string name);

    /** Adds a region with its availability zones. */
    deployment_builder& region(std::string const& id, std::vector<std::string> const& zones);

    /** Adds the same link between each pair of the regions added so far. */
    deployment_builder& link_all_regions(std::uint64_t bits_per_second, microseconds latency);

    /** Sets the limits on shifting traffic between zones. */
    deployment_builder& shift(shift_config const& limits);

    /** Adds a service. The returned builder adds its classes until the next service is added. */
    service_builder service(std::string const& id, int slots, int connections);

    /** Adds an event that reserves the share @p reserve of the service's slots for @p classes. */
    deployment_builder& event(std::string const& id, std::string const& service,
                              std::vector<std::string> const& classes, wall_time start,
                              seconds length, double reserve);

    /** Adds a move of @p share of a service's traffic, shifting @p step every @p interval. */
    deployment_builder& move(std::string const& id, std::string const& service,
                             std::string const& from, std::string const& to, wall_time start,
                             double share, double step, seconds interval);

    /** Adds a site and its client address blocks. */
    deployment_builder& site(std::string const& id, std::string const& zone,
                             std::vector<std::string> const& prefixes);

    /** @return the configuration as JSON, or the first validation error. */
    [[nodiscard]] result<std::string> print() const;

private:
    deployment config_;
};

/** Prints @p described to stdout, or its first error to stderr. @return the exit code. */
int print_configuration(deployment_builder const& described);

} // namespace cove::ops
