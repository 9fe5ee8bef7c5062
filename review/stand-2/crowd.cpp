#include "crowd.h"

#include <algorithm>

namespace stand {

namespace {

constexpr int rounds = 5;
constexpr long memory_kb = 260L * 1024; ///< memory_mb of the settings
constexpr long start_delay_ms = 500;    ///< of the platform, before it starts a process again
constexpr long round_ms = 9000;
constexpr std::size_t clients = 8; ///< that send short orders
constexpr int ends_to_break = 3;
constexpr int hosts_to_break = 2;

/** A process of the deploy file under the platform's memory limit. */
struct supervised {
    std::unique_ptr<entry_host> host;
    std::atomic<int> ends{0};
    std::atomic<long> peak_kb{0};
};

struct order_counts {
    std::atomic<int> served{0};
    std::atomic<int> cut{0}; ///< the connection ended without an answer
};

/** Ends a process that exceeds its memory, as the platform does, and starts it again. */
void supervise(supervised& one, json const& settings, record& notes, std::atomic<bool> const& stop)
{
    while (!stop) {
        long const used = one.host->resident_kb();
        one.peak_kb = std::max(one.peak_kb.load(), used);
        bool const runs = one.host->running();
        if (runs && used > memory_kb) {
            notes.note("host " + one.host->name() + " uses " + std::to_string(used) + " kB of " +
                       std::to_string(memory_kb) + ": the platform kills it");
            one.host->kill();
        }
        if (!runs || used > memory_kb) {
            ++one.ends;
            sleep_ms(start_delay_ms);
            one.host->start(settings, false);
        }
        sleep_ms(10);
    }
}

void send_orders(entry_host const& host, std::size_t number, record& notes,
                 std::atomic<bool> const& stop, order_counts& counts)
{
    for (int i = 0; !stop; ++i) {
        std::string const attempt = "o" + std::to_string(number) + "-" + std::to_string(i);
        auto const got = call(host.ip(), host.front(), "POST", "/order/x", attempt);
        notes.note("order " + attempt + " at " + host.name() + ": status " +
                   std::to_string(got.status) + (got.connected ? "" : ", no connection"));
        counts.served += got.status == 200 ? 1 : 0;
        counts.cut += got.connected && got.status == 0 ? 1 : 0;
        sleep_ms(50);
    }
}

void play_rounds(std::vector<supervised>& hosts, crowd_round const& crowd, record& notes)
{
    for (int round = 0; round < rounds; ++round) {
        moment const began = clock::now();
        std::vector<std::thread> threads;
        for (supervised const& each : hosts) {
            if (trouble_wanted()) {
                threads.emplace_back([&, round] { crowd(*each.host, round, notes); });
            }
        }
        for (std::thread& each : threads) {
            each.join();
        }
        sleep_ms(std::max(0L, round_ms - ms_since(began)));
    }
}

/** Prints the result. @return the exit code. */
int judge(std::vector<supervised> const& hosts, order_counts const& counts, record& notes)
{
    int ended_often = 0;
    for (supervised const& each : hosts) {
        std::string const line = each.host->name() + " ended " + std::to_string(each.ends) +
                                 " times; most memory " + std::to_string(each.peak_kb) + " kB";
        notes.note(line);
        std::printf("%s\n", line.c_str());
        ended_often += each.ends >= ends_to_break ? 1 : 0;
    }
    std::string const orders = "orders served " + std::to_string(counts.served) +
                               ", cut off without an answer " + std::to_string(counts.cut);
    notes.note(orders);
    std::printf("%s\n", orders.c_str());
    if (counts.served == 0) {
        return 2;
    }
    // Fault: on a tenth of the machines, two at least, processes end three times.
    bool const broken = ended_often >= hosts_to_break;
    std::printf("%s\n", broken ? "BROKEN: Fault" : "held");
    return broken ? 1 : 0;
}

int run_in(std::string const& folder, record& notes, long work_ms, crowd_round const& crowd)
{
    int const port = free_ports(16);
    store objects;
    objects.put("config", "main", config_spec({{"/order/", "orders", false}}, "00000007"));
    std::vector<host_place> const places{{"edge-a-1", "a", "127.0.1.1"},
                                         {"edge-a-2", "a", "127.0.1.2"}};
    target first("i-1", "orders", "a", notes);
    target second("i-2", "orders", "a", notes);
    if (!objects.start("127.0.0.1", port + 6) || !first.start("127.0.0.1", port + 7) ||
        !second.start("127.0.0.1", port + 8)) {
        return 2;
    }
    for (target* const each : {&first, &second}) {
        each->set_work(work_ms);
        each->report(objects);
    }
    json const settings = common_settings(places, "127.0.0.1:" + std::to_string(port + 6));
    std::vector<supervised> hosts(places.size());
    for (std::size_t i = 0; i < hosts.size(); ++i) {
        hosts[i].host = std::make_unique<entry_host>(places[i], port, folder, notes);
        hosts[i].host->start(settings, true);
    }
    for (supervised const& each : hosts) {
        if (!each.host->wait_ready(15'000)) {
            return 2;
        }
    }
    std::atomic<bool> stop{false};
    order_counts counts;
    std::vector<std::thread> threads;
    for (supervised& each : hosts) {
        threads.emplace_back([&] { supervise(each, settings, notes, stop); });
    }
    for (std::size_t i = 0; i < clients; ++i) {
        entry_host const& host = *hosts[i % hosts.size()].host;
        threads.emplace_back([&, i] { send_orders(host, i, notes, stop, counts); });
    }
    sleep_ms(2000);
    play_rounds(hosts, crowd, notes);
    stop = true;
    for (std::thread& each : threads) {
        each.join();
    }
    return judge(hosts, counts, notes);
}

} // namespace

int run_crowd_case(record& notes, long work_ms, crowd_round const& crowd)
{
    std::string const folder = make_folder();
    int const result = folder.empty() ? 2 : run_in(folder, notes, work_ms, crowd);
    remove_folder(folder);
    return result;
}

} // namespace stand
