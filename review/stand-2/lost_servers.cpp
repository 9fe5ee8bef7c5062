/** @file Servers restart in place under their ids; then all hosts are killed and start again. */

#include "host.h"

namespace {

using namespace stand;

constexpr long copy_age_ms = 5500; ///< of the store's copy that answers reads with stale_ok
constexpr long drain_ms = 2000;
constexpr long recovery_ms = 15'000;
constexpr long restart_delay_ms = 500;
constexpr long measured_ms = 5000;
constexpr int callers = 4;

/** Share of the orders that clients got served. */
struct tally {
    std::atomic<int> sent{0};
    std::atomic<int> served{0};
};

/** Sends orders to the hosts in turn until @p stop. */
void send_orders(std::vector<std::unique_ptr<entry_host>> const& hosts, int caller, record& notes,
                 std::atomic<bool> const& stop, std::atomic<tally*> const& counted)
{
    for (int n = 0; !stop; ++n) {
        entry_host const& host = *hosts[(caller + n) % hosts.size()];
        std::string const attempt = "o" + std::to_string(caller) + "-" + std::to_string(n);
        tally* const now = counted;
        auto const got = call(host.ip(), host.front(), "POST", "/order/x", attempt);
        notes.note("order " + attempt + " at " + host.name() + ": status " +
                   std::to_string(got.status));
        if (now != nullptr) {
            ++now->sent;
            now->served += got.status == 200 ? 1 : 0;
        }
        sleep_ms(100);
    }
}

/** A server leaves as the pages say, and starts again under its id. */
void restart_in_place(target& server, store& objects, record& notes)
{
    server.report(objects, "draining");
    sleep_ms(drain_ms + 100);
    objects.remove("servers", server.id());
    notes.note("the entry of server " + server.id() + " is removed");
    sleep_ms(100);
    server.born_again();
    server.report(objects);
}

int run_case(std::string const& folder, record& notes)
{
    int const port = free_ports(16);
    store objects;
    std::vector<route> const routes{{"/order/", "orders", false}};
    objects.put("config", "main", config_spec(routes, "00000007"));
    target first("x-1", "orders", "a", notes);
    target second("x-2", "orders", "a", notes);
    if (!objects.start("127.0.0.1", port + 6) || !first.start("127.0.0.1", port + 7) ||
        !second.start("127.0.0.1", port + 8)) {
        return 2;
    }
    first.report(objects);
    second.report(objects);
    objects.set_copies({copy_age_ms});
    std::vector<host_place> const places{{"edge-a-1", "a", "127.0.1.1"},
                                         {"edge-a-2", "a", "127.0.1.2"}};
    json const settings = common_settings(places, "127.0.0.1:" + std::to_string(port + 6));
    std::vector<std::unique_ptr<entry_host>> hosts;
    for (host_place const& place : places) {
        hosts.push_back(std::make_unique<entry_host>(place, port, folder, notes));
        hosts.back()->start(settings, true);
    }
    for (auto const& each : hosts) {
        if (!each->wait_ready(15'000)) {
            return 2;
        }
    }
    tally before;
    tally after;
    std::atomic<bool> stop{false};
    std::atomic<tally*> counted{&before};
    std::vector<std::thread> threads;
    for (int i = 0; i < callers; ++i) {
        threads.emplace_back([&, i] { send_orders(hosts, i, notes, stop, counted); });
    }
    sleep_ms(5000);
    restart_in_place(first, objects, notes);
    sleep_ms(500);
    restart_in_place(second, objects, notes);
    sleep_ms(400);
    counted = nullptr;
    objects.put("config", "main", config_spec(routes, "00000008"));
    if (trouble_wanted()) {
        notes.note("all hosts are killed, right after a configuration was acknowledged");
        for (auto const& each : hosts) {
            each->kill();
        }
        sleep_ms(restart_delay_ms);
        for (auto const& each : hosts) {
            each->start(settings, false);
        }
    }
    sleep_ms(recovery_ms + 100);
    notes.note("the recovery time is over");
    counted = &after;
    sleep_ms(measured_ms);
    int const ready = hosts[0]->readiness();
    stop = true;
    for (std::thread& each : threads) {
        each.join();
    }
    std::printf("before the final fault %d of %d orders served; later than `recovery` after it "
                "%d of %d; readiness %d\n",
                before.served.load(), before.sent.load(), after.served.load(), after.sent.load(),
                ready);
    notes.note("served " + std::to_string(after.served) + " of " + std::to_string(after.sent));
    if (before.served * 4 < before.sent || after.sent == 0) {
        return 2;
    }
    bool const broken = after.served * 4 < after.sent;
    std::printf("%s\n", broken ? "BROKEN: RECOVER" : "held");
    return broken ? 1 : 0;
}

} // namespace

int main(int argc, char** argv)
{
    std::string const folder = make_folder();
    record notes(argc > 1 ? argv[1] : "record.txt");
    int const result = folder.empty() ? 2 : run_case(folder, notes);
    remove_folder(folder);
    return result;
}
