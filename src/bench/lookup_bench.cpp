/** @file lookup-bench: loads a running cove-lookup with closed-loop clients; prints JSON. */

#include "core/address.h"
#include "core/time_type.h"
#include "net/caller_api.h"
#include "net/threaded_http_server.h"

#include <algorithm>
#include <atomic>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

namespace {

using namespace cove;

/** Measurements of one client. */
struct client_result {
    std::vector<std::int64_t> latencies_us;
    std::uint64_t failed = 0;
};

void run_client(address const& where, int number, std::atomic<bool> const& stop, client_result& out)
{
    auto const client = make_http_client(where.ip, where.port, seconds(2));
    for (std::uint64_t i = 0; !stop; ++i) {
        auto const path = std::string(caller_api::lookup_path) + "?service=s&caller=c" +
                          std::to_string(number) + "." + std::to_string(i);
        auto const start = std::chrono::steady_clock::now();
        auto const answer = client->Get(path);
        auto const elapsed = std::chrono::steady_clock::now() - start;
        out.latencies_us.push_back(std::chrono::duration_cast<microseconds>(elapsed).count());
        out.failed += answer && answer->status == 200 ? 0 : 1;
    }
}

std::int64_t quantile(std::vector<std::int64_t> const& sorted, double q)
{
    if (sorted.empty()) {
        return 0;
    }
    return sorted[static_cast<std::size_t>(q * static_cast<double>(sorted.size() - 1))];
}

int run(address const& where, int clients, seconds duration)
{
    std::atomic<bool> stop{false};
    std::vector<client_result> results(static_cast<std::size_t>(clients));
    auto const start = std::chrono::steady_clock::now();
    {
        std::vector<std::jthread> threads;
        for (int i = 0; i < clients; ++i) {
            threads.emplace_back(
                [&, i] { run_client(where, i, stop, results[static_cast<std::size_t>(i)]); });
        }
        std::this_thread::sleep_for(duration);
        stop = true;
    }
    std::chrono::duration<double> const elapsed = std::chrono::steady_clock::now() - start;
    std::vector<std::int64_t> all;
    std::uint64_t failed = 0;
    for (client_result const& result : results) {
        all.insert(all.end(), result.latencies_us.begin(), result.latencies_us.end());
        failed += result.failed;
    }
    std::ranges::sort(all);
    std::cout << nlohmann::json{{"clients", clients},
                                {"lookups", all.size()},
                                {"failed", failed},
                                {"per_second", static_cast<double>(all.size()) / elapsed.count()},
                                {"p50_us", quantile(all, 0.5)},
                                {"p99_us", quantile(all, 0.99)},
                                {"p999_us", quantile(all, 0.999)}}
                     .dump()
              << '\n';
    return failed == 0 && !all.empty() ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 4) {
        std::cerr << "usage: lookup-bench IP:PORT CLIENTS SECONDS\n";
        return 2;
    }
    auto const where = cove::parse_address(argv[1]);
    if (!where) {
        std::cerr << to_string(where.error()) << '\n';
        return 2;
    }
    return run(*where, std::stoi(argv[2]), cove::seconds(std::stoi(argv[3])));
}
