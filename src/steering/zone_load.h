#pragma once
/**
 * @file Load of the own zone: members report it to two aggregators, which sum the reports; the
 * first one distributes the sums to all members.
 */

#include "node/node_view.h"
#include "steering/grant_issuer.h"
#include "steering/steering_message.h"

#include <map>

namespace cove {

inline constexpr std::size_t aggregators_per_zone = 2;
inline constexpr milliseconds report_lifetime{3000}; ///< older reports are ignored

/** The last report of one member. */
struct received_report {
    mono_time at;
    std::vector<service_load> services;
};

/** The last reports of the zone's members; empty at a node that is not an aggregator. */
struct zone_reports {
    std::map<node_id, received_report> by_member;
};

/** @return the aggregators of @p zone: its first live members in id order. */
std::vector<node_id> aggregators_of(node_view const& view, zone_id const& zone);

/**
 * The current and recent aggregators of the zone. A former aggregator stays listed while grants
 * that it issued may still be in use.
 */
struct aggregator_history {
    std::map<node_id, mono_time> since;  ///< current aggregators and when they became aggregators
    std::map<node_id, mono_time> former; ///< former aggregators and when they ceased to be
};

/** Updates the history; @p current are the present aggregators. */
void update_aggregators(aggregator_history& history, std::vector<node_id> const& current,
                        mono_time now);

/**
 * Divides the grantable slots among the aggregators, so that together they do not grant more than
 * there is. A former aggregator keeps its part, and a new one gets none, until the grants issued
 * from that part have expired.
 * @return the report for @p aggregator.
 */
load_report report_for(aggregator_history const& history, std::vector<service_load> const& loads,
                       node_id const& aggregator, mono_time now);

/** Stores a member's report; ignores senders outside the own zone. */
void on_load_report(zone_reports& reports, node_view const& view, node_id const& from,
                    load_report const& report);

/** @return the sums of the reports that are not too old, in order of service id. */
std::vector<service_load> sum_reports(zone_reports const& reports, mono_time now);

/** @return the load of @p service, or null. @param loads sorted by service id. */
service_load const* find_load(std::vector<service_load> const& loads, service_id const& service);

} // namespace cove
