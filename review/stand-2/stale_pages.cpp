/** @file A host that is killed and started again lists the servers while one of them leaves. */

#include "host.h"

#include <csignal>

namespace {

using namespace stand;

constexpr int other_servers = 54; ///< of another service, so that the list has two pages
constexpr std::size_t page_items = 50;
constexpr long copy_age_ms = 2500; ///< of the copy that answers every second stale read
constexpr long drain_ms = 2000;
constexpr long contact_ms = 3000;
constexpr long restart_delay_ms = 500;
constexpr long work_ms = 300;
constexpr long exit_delay_ms = 150; ///< from the first late order to the exit of the leaving server
constexpr int callers = 4;
constexpr int calls_each = 5;

/** Sends orders to @p host from several clients at once. */
int send_orders(entry_host const& host, std::string const& name, record& notes)
{
    std::atomic<int> served{0};
    std::vector<std::thread> threads;
    for (int i = 0; i < callers; ++i) {
        threads.emplace_back([&, i] {
            for (int n = 0; n < calls_each; ++n) {
                std::string const attempt = name + std::to_string(i) + "-" + std::to_string(n);
                notes.note("a client sends " + attempt + " to " + host.name());
                auto const got = call(host.ip(), host.front(), "POST", "/order/x", attempt);
                notes.note("order " + attempt + ": status " + std::to_string(got.status));
                served += got.status == 200 ? 1 : 0;
            }
        });
    }
    for (std::thread& each : threads) {
        each.join();
    }
    return served;
}

int run_case(std::string const& folder, record& notes)
{
    int const port = free_ports(80);
    store objects;
    objects.set_page(page_items);
    objects.put(
        "config", "main",
        config_spec({{"/order/", "orders", false}, {"/archive/", "archive", true}}, "00000007"));
    std::vector<std::unique_ptr<target>> servers;
    for (int i = 0; i < other_servers; ++i) {
        std::string const number = std::to_string(100 + i);
        servers.push_back(std::make_unique<target>("i-" + number, "archive", "a", notes));
    }
    servers.push_back(std::make_unique<target>("x-1", "orders", "a", notes));
    servers.push_back(std::make_unique<target>("x-2", "orders", "a", notes));
    bool listens = objects.start("127.0.0.1", port + 6);
    for (std::size_t i = 0; i < servers.size(); ++i) {
        listens = listens && servers[i]->start("127.0.0.1", port + 10 + static_cast<int>(i));
        servers[i]->set_work(work_ms);
        servers[i]->report(objects);
    }
    if (!listens) {
        return 2;
    }
    std::vector<host_place> const places{{"edge-a-1", "a", "127.0.1.1"},
                                         {"edge-a-2", "a", "127.0.1.2"}};
    json const settings = common_settings(places, "127.0.0.1:" + std::to_string(port + 6));
    entry_host host(places[0], port, folder, notes);
    entry_host neighbour(places[1], port, folder, notes);
    host.start(settings, true);
    neighbour.start(settings, true);
    if (!host.wait_ready(15'000) || !neighbour.wait_ready(15'000)) {
        return 2;
    }
    sleep_ms(5000);
    if (send_orders(host, "early", notes) == 0) {
        return 2;
    }
    sleep_ms(2000);
    target& leaver = *servers.back();
    moment const killed = clock::now();
    if (trouble_wanted()) {
        objects.set_copies({0, copy_age_ms});
        notes.note("host edge-a-1 is killed");
        host.kill();
    }
    leaver.leave();
    leaver.report(objects, "draining");
    long const acknowledged = notes.now();
    if (trouble_wanted()) {
        sleep_ms(restart_delay_ms - ms_since(killed));
        host.start(settings, false);
    }
    if (!host.wait_ready(10'000)) {
        return 2;
    }
    sleep_ms(restart_delay_ms + contact_ms + 1000 - ms_since(killed));
    long const sent_from = notes.now();
    notes.note("the host has been in touch for " + std::to_string(contact_ms) + " ms and more");
    // The server has served for more than `drain` by now, and exits.
    std::thread exit([&] {
        sleep_ms(exit_delay_ms);
        notes.note("server " + leaver.id() + " exits");
        leaver.stop();
    });
    int const served = send_orders(host, "late", notes);
    exit.join();
    int late = 0;
    for (target::run const& each : leaver.runs()) {
        late += each.at >= sent_from && each.at > acknowledged + drain_ms ? 1 : 0;
    }
    std::printf("%d of %d orders served; %d reached the leaving server, the first ones sent %ld ms "
                "after the store had acknowledged that it leaves\n",
                served, callers * calls_each, late, sent_from - acknowledged);
    notes.note("requests at the leaving server " + std::to_string(late));
    bool const broken = late > 0;
    std::printf("%s\n", broken ? "BROKEN: DRAIN" : "held");
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
