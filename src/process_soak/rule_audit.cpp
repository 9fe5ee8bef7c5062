#include "process_soak/rule_audit.h"

#include <algorithm>
#include <set>

namespace cove {

namespace {

constexpr milliseconds arrival_slack{100}; ///< between the arrival at a target and its journal
constexpr milliseconds stop_slack{1000};   ///< after the grace time of a planned stop
constexpr int not_found_status = 404;

/** Statuses that promise that a request has not run and never will. */
bool promises_no_run(int status)
{
    static std::set<int> const statuses{408, 421, 429, 503};
    return statuses.contains(status);
}

class auditor {
public:
    auditor(run_record const& record, rule_bounds const& bounds) : record_(record), bounds_(bounds)
    {
        for (target_run const& run : record.runs) {
            runs_[run.attempt].push_back(&run);
        }
    }

    std::vector<rule_violation> check()
    {
        for (client_request const& request : record_.requests) {
            auto const found = runs_.find(request.attempt);
            std::vector<target_run const*> const none;
            auto const& runs = found == runs_.end() ? none : found->second;
            check_once(request, runs);
            check_not_found(request);
            check_lost(request, runs);
            for (target_run const* run : runs) {
                check_config(request, *run);
                check_departures(request, *run);
                check_evacuations(request, *run);
            }
        }
        if (static_cast<int>(lost_.size()) > bounds_.lost_max) {
            violations_.insert(violations_.end(), lost_.begin(), lost_.end());
        }
        return std::move(violations_);
    }

private:
    /** @return whether @p place was disturbed in [@p from, @p to]. */
    [[nodiscard]] bool is_disturbed(std::string const& place, mono_time from, mono_time to,
                                    bool count_planned) const
    {
        return std::any_of(record_.disturbances.begin(), record_.disturbances.end(),
                           [&](disturbance const& each) {
                               return (each.place == place || each.place == everywhere) &&
                                      (count_planned || !each.planned) && each.begin <= to &&
                                      (!each.end || *each.end >= from);
                           });
    }

    [[nodiscard]] bool in_touch(std::string const& host, mono_time from, mono_time to) const
    {
        return !is_disturbed(host, from - bounds_.contact, to, true);
    }

    void add(char const* rule, client_request const& request, std::string const& detail)
    {
        violations_.push_back({rule, request.attempt,
                               detail + ", route " + request.route + ", host " + request.host});
    }

    void check_once(client_request const& request, std::vector<target_run const*> const& runs)
    {
        if (!request.once || runs.empty()) {
            return;
        }
        if (runs.size() > 1) {
            add("TWICE", request, std::to_string(runs.size()) + " runs");
        }
        if (promises_no_run(request.status)) {
            add("REFUSED", request, "ran and was answered " + std::to_string(request.status));
        }
    }

    /** @return the versions that may be in force for a request sent at @p sent, run at @p at. */
    [[nodiscard]] std::vector<config_change const*> in_force(mono_time sent, mono_time at) const
    {
        std::vector<config_change const*> out;
        for (std::size_t i = 0; i < record_.configs.size(); ++i) {
            bool const replaced = i + 1 < record_.configs.size() &&
                                  record_.configs[i + 1].acknowledged + bounds_.config_apply < sent;
            if (record_.configs[i].written <= at && !replaced) {
                out.push_back(&record_.configs[i]);
            }
        }
        return out;
    }

    static bool service_matches(config_change const& config, std::string const& route,
                                target_run const& run)
    {
        auto const rule = config.routes.find(route);
        return rule != config.routes.end() && rule->second.service == run.service;
    }

    static bool allows(config_change const& config, std::string const& route, target_run const& run)
    {
        auto const rule = config.routes.find(route);
        return service_matches(config, route, run) &&
               (rule->second.home_region.empty() || rule->second.home_region == run.region);
    }

    void check_config(client_request const& request, target_run const& run)
    {
        auto const current = in_force(request.sent, run.at);
        auto const allowed = [&](config_change const* each) {
            return allows(*each, request.route, run);
        };
        auto const right_service = [&](config_change const* each) {
            return service_matches(*each, request.route, run);
        };
        if (std::any_of(current.begin(), current.end(), allowed)) {
            return;
        }
        bool const home_only = std::any_of(current.begin(), current.end(), right_service);
        bool const older = std::any_of(
            record_.configs.begin(), record_.configs.end(),
            [&](config_change const& each) { return each.written <= run.at && allowed(&each); });
        if (older && !in_touch(request.host, request.sent, run.at)) {
            return;
        }
        std::string detail = "run by " + run.target + " (" + run.service + ", " + run.region + ")";
        if (older && !current.empty()) {
            auto const late = std::chrono::duration_cast<milliseconds>(
                request.sent - current.front()->acknowledged);
            detail += ", sent " + std::to_string(late.count()) +
                      " ms after the acknowledgement of " +
                      std::to_string(current.front()->version);
        }
        add(home_only ? "HOME" : older ? "CONFIG" : "ROUTE", request, detail);
    }

    void check_not_found(client_request const& request)
    {
        if (request.status != not_found_status || request.signed_by_target) {
            return;
        }
        auto const current = in_force(request.sent, request.ended);
        if (!current.empty() &&
            std::all_of(
                current.begin(), current.end(),
                [&](config_change const* each) { return each->routes.contains(request.route); }) &&
            in_touch(request.host, request.sent, request.ended)) {
            add("CONFIG", request, "answered 404 though the route is in force");
        }
    }

    void check_departures(client_request const& request, target_run const& run)
    {
        for (target_departure const& each : record_.departures) {
            if (each.target == run.target &&
                run.at > each.acknowledged + bounds_.drain + arrival_slack &&
                !is_disturbed(everywhere, each.acknowledged - bounds_.contact, each.acknowledged,
                              true) &&
                !is_disturbed(run.target, run.at - bounds_.contact, run.at, true) &&
                in_touch(request.host, request.sent, run.at)) {
                auto const late =
                    std::chrono::duration_cast<milliseconds>(run.at - each.acknowledged);
                add("DRAIN", request,
                    run.target + " ran it " + std::to_string(late.count()) +
                        " ms after its report was acknowledged");
            }
        }
    }

    void check_evacuations(client_request const& request, target_run const& run)
    {
        for (zone_evacuation const& each : record_.evacuations) {
            if (each.zone == run.zone &&
                run.at > each.acknowledged + bounds_.evacuation + arrival_slack &&
                (!each.lifted || run.at < *each.lifted) &&
                !is_disturbed(run.target, run.at - bounds_.contact, run.at, true) &&
                in_touch(request.host, request.sent, run.at)) {
                auto const late =
                    std::chrono::duration_cast<milliseconds>(run.at - each.acknowledged);
                add("EVAC", request,
                    run.target + " ran it " + std::to_string(late.count()) +
                        " ms after the evacuation was acknowledged");
            }
        }
    }

    /** @return whether a planned stop of @p host explains that a connection ended at @p at. */
    [[nodiscard]] bool in_planned_stop(std::string const& host, mono_time at) const
    {
        return std::any_of(record_.disturbances.begin(), record_.disturbances.end(),
                           [&](disturbance const& each) {
                               return each.place == host && each.planned && each.begin <= at &&
                                      at <= each.begin + bounds_.grace + stop_slack;
                           });
    }

    void check_lost(client_request const& request, std::vector<target_run const*> const& runs)
    {
        if (request.status != 0 || request.timed_out || runs.empty()) {
            return;
        }
        mono_time const from = request.sent - bounds_.contact;
        bool const calm = !is_disturbed(request.host, from, request.ended, false) &&
                          std::none_of(runs.begin(), runs.end(), [&](target_run const* run) {
                              return is_disturbed(run->target, from, request.ended, true);
                          });
        if (!calm) {
            return;
        }
        if (in_planned_stop(request.host, request.ended)) {
            add("LOST", request, "ran, and a planned stop closed its connection");
        }
        else if (in_touch(request.host, request.sent, request.ended)) {
            lost_.push_back({"LOST", request.attempt,
                             "ran, and its connection was closed, host " + request.host});
        }
    }

    run_record const& record_;
    rule_bounds bounds_;
    std::map<std::string, std::vector<target_run const*>> runs_;
    std::vector<rule_violation> violations_;
    std::vector<rule_violation> lost_; ///< without a planned stop
};

} // namespace

std::vector<rule_violation> audit_run(run_record const& record, rule_bounds const& bounds)
{
    return auditor(record, bounds).check();
}

} // namespace cove
