#include "soak/fake_callers.h"
#include "soak/fault_schedule.h"
#include "table/mechanisms.h"

#include <algorithm>

namespace cove {

namespace {

constexpr int zones_per_region = 2;
constexpr int hosts_per_zone = 3;
constexpr int targets_per_service = 3;
constexpr int callers_per_zone = 8;
/** In a zone without faults for this long, no member may be suspected. */
constexpr seconds undisturbed_time{3};
constexpr seconds settle_time{8}; ///< from the end of the faults to check_convergence()
constexpr seconds drain_time{30}; ///< after the last new operation, to answer every request

deployment small_deployment()
{
    deployment config;
    config.name = "soak";
    for (char const* region : {"north", "south"}) {
        config.regions.emplace_back(region);
        for (int zone = 0; zone < zones_per_region; ++zone) {
            config.zones.push_back(
                {zone_id{region + std::string("-") + std::to_string(zone)}, region_id{region}});
        }
    }
    config.links.push_back({region_id{"north"}, region_id{"south"}, 40'000'000, milliseconds(12)});
    config.services.push_back({service_id{"desk"},
                               4,
                               100,
                               {{class_id{"read"}, true, 1, milliseconds(800)},
                                {class_id{"sign"}, false, 0, milliseconds(1000)}}});
    config.services.push_back(
        {service_id{"fund"}, 2, 100, {{class_id{"pay"}, false, 0, milliseconds(1000)}}});
    return config;
}

disabled_mechanisms disable_mechanism(std::string const& name)
{
    disabled_mechanisms disabled;
    for (mechanism_row const& row : mechanism_table) {
        if (name == row.name) {
            disabled.*row.field = true;
        }
    }
    return disabled;
}

/** One run: sets up the simulated deployment, connects its parts and advances the virtual time. */
class soak_run {
public:
    explicit soak_run(soak_options const& options)
        : options_(options), random_(options.seed),
          profile_(static_cast<soak_profile>(options.seed % 3)), config_(small_deployment()),
          nodes_(time_, random_, checks_, disable_mechanism(options.disabled)),
          network_(time_, random_, nodes_,
                   [this](zone_id const& zone) { return find_zone(config_, zone)->region; }),
          targets_(time_, random_, nodes_, checks_),
          platform_(time_, random_, nodes_, targets_, config_),
          callers_(time_, random_, nodes_, checks_, config_),
          faults_(time_, random_, nodes_, network_, targets_, platform_, zones(), profile_)
    {
        nodes_.connect({
            [this](std::size_t host, send_peer const& send) { network_.send(host, send); },
            [this](std::size_t host, call_target const& call) { targets_.call(host, call); },
            [this](std::size_t host, call_key key) { targets_.cancel(host, key); },
            [this](reply const& response) { callers_.answered(response); },
            [this](std::size_t host, bool planned) { on_ended(host, planned); },
            [this](std::size_t host, log_line const& line) { on_logged(host, line); },
        });
    }

    soak_outcome run()
    {
        set_up();
        if (profile_ == soak_profile::planned_stops) {
            checks_.forbid_unknown();
        }
        faults_.start();
        while (checks_.outcome().steps < options_.steps && within_violation_limit() &&
               time_.run_next()) {
        }
        callers_.stop();
        faults_.repair();
        time_.after(settle_time, [this] { check_convergence(); });
        mono_time const drain_end = time_.now() + drain_time;
        while (time_.now() < drain_end && within_violation_limit() && time_.run_next()) {
        }
        for (fleet_host const& host : nodes_.hosts()) {
            if (host.node && host.stopping) {
                checks_.add_violation("stop_hung", host.host_entry.id.value);
            }
        }
        if (within_violation_limit()) {
            checks_.check_all_answered();
        }
        checks_.outcome().seed = options_.seed;
        return checks_.outcome();
    }

private:
    bool within_violation_limit() { return checks_.outcome().violations.size() < 20; }

    std::vector<zone_id> zones() const
    {
        std::vector<zone_id> ids;
        for (zone_config const& zone : config_.zones) {
            ids.push_back(zone.id);
        }
        return ids;
    }

    void on_logged(std::size_t host, log_line const& line)
    {
        checks_.log_event(time_.now(), nodes_.hosts()[host].host_entry.id.value + " " + line.event);
        if (line.event == "member_suspected" &&
            is_zone_undisturbed(nodes_.hosts()[host].host_entry.zone)) {
            checks_.add_violation("false_suspicion", nodes_.hosts()[host].host_entry.id.value +
                                                         " suspects " + line.fields[0].second);
        }
    }

    /**
     * @return whether all hosts of @p zone have run for undisturbed_time without a fault. A cut
     * between two hosts does not count: indirect probes have to get around it.
     */
    bool is_zone_undisturbed(zone_id const& zone) const
    {
        return profile_ != soak_profile::all_faults &&
               std::ranges::all_of(nodes_.hosts(), [&](fleet_host const& host) {
                   return host.host_entry.zone != zone ||
                          (host.node && !host.frozen && !host.stopping &&
                           time_.now() - host.disturbed_at > undisturbed_time);
               });
    }

    bool is_settled(fleet_host const& host) const
    {
        return host.node && !host.stopping &&
               time_.now() - host.disturbed_at > settle_time - undisturbed_time;
    }

    /**
     * Checks that every settled host has the newest configuration and sees all settled hosts of
     * its zone as live.
     */
    void check_convergence()
    {
        for (fleet_host const& viewer : nodes_.hosts()) {
            if (is_settled(viewer) &&
                viewer.node->config_generation != platform_.newest_generation()) {
                checks_.add_violation("config_not_in_force", viewer.host_entry.id.value);
            }
            for (fleet_host const& subject : nodes_.hosts()) {
                if (!is_settled(viewer) || !is_settled(subject) ||
                    viewer.host_entry.zone != subject.host_entry.zone) {
                    continue;
                }
                auto const& members = viewer.node->members.members;
                auto const found = members.find(subject.host_entry.id);
                if (found == members.end() || !is_live(found->second, time_.now())) {
                    checks_.add_violation("live_member_not_seen", subject.host_entry.id.value +
                                                                      " by " +
                                                                      viewer.host_entry.id.value);
                }
            }
        }
    }

    void on_ended(std::size_t host, bool planned)
    {
        callers_.on_host_ended(host, planned);
        faults_.on_host_ended(host);
    }

    void set_up()
    {
        int port = 0;
        for (zone_config const& zone : config_.zones) {
            for (int i = 0; i < hosts_per_zone; ++i) {
                std::string const name = zone.id.value + "-e" + std::to_string(i);
                std::size_t const host =
                    nodes_.add({node_id{name}, zone.id, "10.0.0.1:" + std::to_string(++port),
                                "10.0.0.2:" + std::to_string(port)});
                platform_.list_entry_host(host, host_state::live);
                nodes_.start(host);
                platform_.send_initial_state(host);
            }
            for (service_config const& service : config_.services) {
                for (int i = 0; i < targets_per_service; ++i) {
                    std::string const name =
                        zone.id.value + "-" + service.id.value + std::to_string(i);
                    targets_.add({target_id{name}, service.id, zone.id,
                                  "10.0.0.3:" + std::to_string(++port)},
                                 service.slots);
                }
            }
            callers_.add(zone.id, callers_per_zone);
        }
        platform_.publish_hosts();
    }

    soak_options options_;
    random_source random_;
    soak_profile profile_;
    deployment config_;
    scheduler time_;
    audit checks_;
    fleet nodes_;
    fake_network network_;
    fake_targets targets_;
    fake_platform platform_;
    fake_callers callers_;
    fault_schedule faults_;
};

} // namespace

soak_outcome run_soak(soak_options const& options)
{
    return soak_run(options).run();
}

} // namespace cove
