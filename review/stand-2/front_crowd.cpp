/** @file Large bodies that arrive piece by piece, and ordinary callers that need a connection. */

#include "host.h"

namespace {

using namespace stand;

constexpr std::size_t crowd_size = 3200;
constexpr long body_bytes = 1'048'576; ///< a sixty-fourth of what the configuration allows
constexpr long piece_bytes = 512;
constexpr long piece_interval_ms = 1000;
constexpr long crowd_ms = 15'000;
constexpr long contact_ms = 3000;
constexpr int callers = 8;
constexpr long call_interval_ms = 200;

/** When a caller last got something on a new connection, and who has tried since then. */
struct caller_log {
    std::mutex mutex;
    long last_taken_ms = 0;
    std::map<int, int> tries_since; ///< by caller
    long longest_ms = 0;            ///< without a connection taken, while 7 callers or more tried
    int served = 0;
    int failed = 0;
};

void note_call(caller_log& log, int caller, bool taken, long now)
{
    constexpr std::size_t least_callers = 7;
    std::lock_guard const lock(log.mutex);
    ++(taken ? log.served : log.failed);
    if (taken) {
        log.last_taken_ms = now;
        log.tries_since.clear();
        return;
    }
    ++log.tries_since[caller];
    if (log.tries_since.size() >= least_callers) {
        log.longest_ms = std::max(log.longest_ms, now - log.last_taken_ms);
    }
}

/** Opens connections, announces a large body on each and sends it piece by piece. */
void run_crowd(entry_host const& host, record& notes, std::atomic<bool> const& stop)
{
    std::vector<connection> clients;
    std::string const head =
        "POST /order/x HTTP/1.1\r\nHost: " + std::string(host_name) +
        "\r\nX-Attempt-Id: c\r\nContent-Length: " + std::to_string(body_bytes) + "\r\n\r\n";
    // Clients that were refused come again, as a crowd does.
    auto const open_all = [&] {
        for (auto missing = crowd_size - clients.size(); missing > 0; --missing) {
            auto link = connection::to(host.ip(), host.front(), milliseconds(1000));
            if (link.open() && link.send(head)) {
                clients.push_back(std::move(link));
            }
        }
    };
    open_all();
    notes.note("the crowd has " + std::to_string(clients.size()) + " connections");
    moment const began = clock::now();
    std::string const piece(piece_bytes, 'b');
    while (!stop && ms_since(began) < crowd_ms) {
        std::erase_if(clients, [&piece](connection& each) { return !each.send(piece); });
        notes.note("the crowd sent a piece on " + std::to_string(clients.size()) + " connections");
        open_all();
        sleep_ms(piece_interval_ms);
    }
}

int run_case(std::string const& folder, record& notes)
{
    int const port = free_ports(16);
    std::string const store_address = "127.0.0.1:" + std::to_string(port + 6);
    store objects;
    objects.put(
        "config", "main",
        config_spec({{"/order/", "orders", false}, {"/view/", "orders", true}}, "00000007"));
    std::vector<host_place> const places{{"edge-a-1", "a", "127.0.1.1"}};
    target server("i-1", "orders", "a", notes);
    if (!objects.start("127.0.0.1", port + 6) || !server.start("127.0.0.1", port + 7)) {
        return 2;
    }
    server.report(objects);
    entry_host host(places[0], port, folder, notes);
    host.start(common_settings(places, store_address), true);
    if (!host.wait_ready(15'000)) {
        return 2;
    }
    std::atomic<bool> stop{false};
    std::atomic<int> not_ready{0};
    caller_log log;
    std::vector<std::thread> threads;
    sleep_ms(2000);
    log.last_taken_ms = notes.now();
    for (int i = 0; i < callers; ++i) {
        threads.emplace_back([&, i] {
            for (int n = 0; !stop; ++n) {
                std::string const attempt = "v" + std::to_string(i) + "-" + std::to_string(n);
                auto const got = call(host.ip(), host.front(), "GET", "/view/x", attempt);
                notes.note("caller " + std::to_string(i) + ": status " +
                           std::to_string(got.status) + (got.connected ? "" : ", no connection"));
                note_call(log, i, got.status > 0, notes.now());
                sleep_ms(call_interval_ms);
            }
        });
    }
    threads.emplace_back([&] {
        while (!stop) {
            int const status = host.readiness();
            notes.note("readiness " + std::to_string(status));
            not_ready += status == 200 ? 0 : 1;
            sleep_ms(1000);
        }
    });
    sleep_ms(3000);
    if (trouble_wanted()) {
        run_crowd(host, notes, stop);
    }
    else {
        sleep_ms(crowd_ms);
    }
    stop = true;
    for (std::thread& each : threads) {
        each.join();
    }
    std::printf("callers answered %d, not answered %d; longest time without a connection taken "
                "%ld ms; readiness other than 200: %d times; process %s\n",
                log.served, log.failed, log.longest_ms, not_ready.load(),
                host.running() ? "runs" : "has ended");
    if (log.served == 0) {
        return 2;
    }
    // RECOVER: a machine that says it is ready takes no new connection for `contact`.
    bool const broken = log.longest_ms > contact_ms && not_ready == 0;
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
