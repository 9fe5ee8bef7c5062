/** @file Case 1: the machines of both zones are replaced by others, one zone after the other. */

#include "../stand/stand.h"

using namespace review;

namespace {

/** The machines of a zone are taken away and others are added; or each is only restarted. */
bool renew(deployment& all, std::size_t zone)
{
    std::string const& name = all.where.zones[zone];
    std::vector<std::thread> stops;
    for (auto const& each : all.machines) {
        if (each->zone() == name) {
            stops.emplace_back([&each] { each->stop(); });
        }
    }
    for (std::thread& each : stops) {
        each.join();
    }
    if (trouble()) {
        std::erase_if(all.machines, [&](auto const& each) { return each->zone() == name; });
        all.start_machines(zone, 3, 4, false);
    }
    else {
        for (auto const& each : all.machines) {
            if (each->zone() == name) {
                each->start(false);
            }
        }
    }
    return all.wait_ready(8);
}

/** All servers leave, others come; what clients get from machines that don't know it. */
void release(deployment& all)
{
    std::size_t const old = all.servers.size();
    for (std::string const& zone : all.where.zones) {
        all.add_server("new-desk", zone);
        all.add_server("new-desk", zone);
    }
    for (std::size_t i = 0; i < old; ++i) {
        all.servers[i]->leave();
    }
    sleep_s(4); // drain and a little longer
    for (std::size_t i = 0; i < old; ++i) {
        all.platform.remove("servers", all.servers[i]->id());
    }
    all.servers.erase(all.servers.begin(), all.servers.begin() + static_cast<std::ptrdiff_t>(old));
    sleep_s(contact_s);
    record::get().line("after all servers were replaced: " +
                       all.watch(4, 0, [](run const&) { return false; }).text());
}

int play(deployment& all)
{
    record& out = record::get();
    all.start_servers({"old-desk", "new-desk"});
    all.start_machines(0, 1, 2, true);
    all.start_machines(1, 1, 2, true);
    if (!all.wait_ready(8)) {
        return exit_not_run;
    }
    sleep_s(contact_s);
    for (std::size_t zone = 0; zone < all.where.zones.size(); ++zone) {
        if (!renew(all, zone)) {
            return exit_not_run;
        }
        sleep_s(contact_s + 1); // all machines are in touch again
    }
    tally const before =
        all.watch(1, 0, [](run const& what) { return what.service != "old-desk"; });
    out.line("before the change: " + before.text());
    if (before.failed > 0 || before.stale > 0) {
        return exit_not_run;
    }
    double const changed =
        all.platform.put("config", "main", config_spec(2, {{"/desk/", "new-desk"}}));
    tally const config = all.watch(8, changed + config_apply_s,
                                   [](run const& what) { return what.service == "old-desk"; });
    out.line("CONFIG, sent later than 2 s after version 2: " + config.text());
    double const ordered = all.platform.put("evacuations", all.where.zones[0], json::object());
    double const bound = ordered + evacuation_s;
    tally const zone = all.watch(8, ordered, [&](run const& what) {
        return what.zone == all.where.zones[0] && what.at > bound;
    });
    out.line("EVAC, run in the zone later than 5 s after the order: " + zone.text());
    all.platform.remove("evacuations", all.where.zones[0]);
    release(all);
    return config.stale > 0 ? exit_broken : exit_held;
}

} // namespace

int main(int argc, char** argv)
{
    return play_case(argc, argv, play);
}
