/** @file Large bodies at the address for look-ups, while ordinary callers send orders. */

#include "host.h"

#include <csignal>

namespace {

using namespace stand;

constexpr int hosts_count = 2;
constexpr int rounds = 3;
constexpr int crowd_size = 8;
constexpr long body_bytes = 67'108'864; ///< max_body_bytes of the configuration
constexpr long memory_kb = 260L * 1024; ///< memory_mb of the settings
constexpr long stay_open_ms = 3000;
constexpr long start_delay_ms = 500; ///< of the platform, before it starts a process again
constexpr long round_ms = 9000;

/** A process of the deploy file under the platform's memory limit. */
struct supervised {
    std::unique_ptr<entry_host> host;
    std::atomic<int> ends{0};
    std::atomic<long> peak_kb{0};
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

/** One client of the crowd: announces a body of legal size and stops short of its end. */
void send_large_body(entry_host const& host, record& notes)
{
    auto const link = connection::to(host.ip(), host.directory(), milliseconds(1000));
    std::string const part(65'536, 'b');
    long sent = 0;
    bool open = link.open() &&
                link.send("POST /sycamorecove/resolve?name=" + std::string(host_name) +
                          " HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(body_bytes) +
                          "\r\n\r\n");
    while (open && sent + static_cast<long>(part.size()) < body_bytes) {
        open = link.send(part);
        sent += open ? static_cast<long>(part.size()) : 0;
    }
    notes.note("a client sent " + std::to_string(sent) + " bytes to the directory of " +
               host.name());
    if (open) {
        sleep_ms(stay_open_ms);
    }
}

/** Sends orders one after another and counts those that ended without an answer. */
void send_orders(entry_host const& host, int number, record& notes, std::atomic<bool> const& stop,
                 std::atomic<int>& served, std::atomic<int>& cut)
{
    for (int i = 0; !stop; ++i) {
        std::string const attempt = "o" + std::to_string(number) + "-" + std::to_string(i);
        auto const got = call(host.ip(), host.front(), "POST", "/order/x", attempt);
        notes.note("order " + attempt + " at " + host.name() + ": status " +
                   std::to_string(got.status) + (got.connected ? "" : ", no connection"));
        served += got.status == 200 ? 1 : 0;
        cut += got.connected && got.status == 0 ? 1 : 0;
        sleep_ms(50);
    }
}

/** Prints how often each process ended. @return the number of those that ended three times. */
int hosts_that_ended(std::vector<supervised> const& hosts, record& notes)
{
    int ended_often = 0;
    for (supervised const& each : hosts) {
        std::string const line = each.host->name() + " ended " + std::to_string(each.ends) +
                                 " times; most memory " + std::to_string(each.peak_kb) + " kB";
        notes.note(line);
        std::printf("%s\n", line.c_str());
        ended_often += each.ends >= 3 ? 1 : 0;
    }
    return ended_often;
}

int run_case(std::string const& folder, record& notes)
{
    int const port = free_ports(16);
    std::string const store_address = "127.0.0.1:" + std::to_string(port + 6);
    store objects;
    objects.put("config", "main", config_spec({{"/order/", "orders", false}}, "00000007"));
    std::vector<host_place> const places{{"edge-a-1", "a", "127.0.1.1"},
                                         {"edge-a-2", "a", "127.0.1.2"}};
    target first("i-1", "orders", "a", notes);
    target second("i-2", "orders", "a", notes);
    first.set_work(200);
    second.set_work(200);
    if (!objects.start("127.0.0.1", port + 6) || !first.start("127.0.0.1", port + 7) ||
        !second.start("127.0.0.1", port + 8)) {
        return 2;
    }
    first.report(objects);
    second.report(objects);
    json const settings = common_settings(places, store_address);
    std::vector<supervised> hosts(hosts_count);
    for (int i = 0; i < hosts_count; ++i) {
        hosts[i].host = std::make_unique<entry_host>(places[i], port, folder, notes);
        hosts[i].host->start(settings, true);
    }
    for (supervised const& each : hosts) {
        if (!each.host->wait_ready(15'000)) {
            return 2;
        }
    }
    std::atomic<bool> stop{false};
    std::atomic<int> served{0};
    std::atomic<int> cut{0};
    std::vector<std::thread> threads;
    for (supervised& each : hosts) {
        threads.emplace_back([&] { supervise(each, settings, notes, stop); });
    }
    for (int i = 0; i < 8; ++i) {
        entry_host const& host = *hosts[i % hosts_count].host;
        threads.emplace_back([&, i] { send_orders(host, i, notes, stop, served, cut); });
    }
    sleep_ms(2000);
    for (int round = 0; round < rounds; ++round) {
        std::vector<std::thread> crowd;
        moment const began = clock::now();
        for (int i = 0; trouble_wanted() && i < crowd_size * hosts_count; ++i) {
            entry_host const& host = *hosts[i % hosts_count].host;
            crowd.emplace_back([&] { send_large_body(host, notes); });
        }
        for (std::thread& each : crowd) {
            each.join();
        }
        sleep_ms(std::max(0L, round_ms - ms_since(began)));
    }
    stop = true;
    for (std::thread& each : threads) {
        each.join();
    }
    int const ended_often = hosts_that_ended(hosts, notes);
    std::printf("orders served %d, cut off without an answer %d\n", served.load(), cut.load());
    notes.note("orders served " + std::to_string(served) + ", cut off " + std::to_string(cut));
    if (served == 0) {
        return 2;
    }
    // Fault: on a tenth of the machines, two at least, processes end three times.
    bool const broken = ended_often >= 2;
    std::printf("%s\n", broken ? "BROKEN: Fault" : "held");
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
