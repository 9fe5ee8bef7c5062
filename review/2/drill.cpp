/** @file Case 2: the store comes back from a copy that is some seconds old; a zone is evacuated. */

#include "../stand/stand.h"

using namespace review;

namespace {

int play(deployment& all)
{
    record& out = record::get();
    all.start_servers({"desk"});
    sleep_s(1);
    all.platform.copy(); // before the machines write their addresses
    all.start_machines(0, 1, 2, true);
    all.start_machines(1, 1, 2, true);
    if (!all.wait_ready(8)) {
        return exit_not_run;
    }
    sleep_s(contact_s);
    if (trouble()) {
        all.platform.come_back_from_copy(1);
    }
    sleep_s(2 * contact_s); // the store is stable, all machines are in touch
    std::string const zone = all.where.zones[0];
    tally const before = all.watch(1, 0, [](run const&) { return false; });
    out.line("before the order: " + before.text());
    if (before.failed > 0) {
        return exit_not_run;
    }
    double const ordered = all.platform.put("evacuations", zone, json::object());
    double const bound = ordered + evacuation_s;
    tally const after = all.watch(
        15, ordered, [&](run const& what) { return what.zone == zone && what.at > bound; });
    out.line("EVAC, run in the zone later than 5 s after the order: " + after.text());
    // A machine that starts anew reads the list, but its peers seem to have a newer one.
    all.machines.front()->stop();
    all.machines.front()->start(false);
    if (!all.wait_ready(8)) {
        return exit_not_run;
    }
    sleep_s(contact_s + 2);
    double const again = record::get().now();
    tally const restarted = all.watch(3, again, [&](run const& what) { return what.zone == zone; });
    out.line("after a restart of " + all.machines.front()->name() +
             ", run in the zone: " + restarted.text());
    return after.stale > 0 ? exit_broken : exit_held;
}

} // namespace

int main(int argc, char** argv)
{
    return play_case(argc, argv, play);
}
