/** @file A request that crashes its servers, from clients that leave before the crash. */

#include "host.h"

#include <algorithm>
#include <array>

namespace {

using namespace stand;

constexpr int servers_count = 6;
constexpr char const* deadly_path = "/view/deadly";
constexpr long crash_after_ms = 600; ///< of work on the deadly request
constexpr long leave_after_ms = 300; ///< clients leave, long before their deadline
constexpr long deadline_ms = 2000;
constexpr long back_after_ms = 3000;
constexpr long copy_interval_ms = 1000;
constexpr int copies = 30;
constexpr long contact_ms = 3000;
constexpr std::size_t crashes_counted = 3;
constexpr int allowed_retries = 3;

/** Servers that crash under the deadly request and are back after some seconds. */
class crash_pool {
public:
    crash_pool(store& objects, int port, record& notes)
        : objects_(objects), port_(port), notes_(notes)
    {
    }

    bool start()
    {
        for (int i = 0; i < servers_count; ++i) {
            auto& server = servers_.emplace_back(
                std::make_unique<target>("i-" + std::to_string(i), "desk", "a", notes_));
            if (!server->start("127.0.0.1", port_ + i)) {
                return false;
            }
            server->set_work(200);
            server->set_endless("deadly");
            server->report(objects_);
        }
        return true;
    }

    /** Looks at each server for a run of the deadly request that is due to crash it. */
    void watch(std::atomic<bool> const& stop)
    {
        std::vector<std::size_t> seen(servers_.size(), 0);
        std::vector<std::thread> crashes;
        while (!stop) {
            for (std::size_t i = 0; i < servers_.size(); ++i) {
                auto const runs = servers_[i]->runs();
                for (; seen[i] < runs.size(); ++seen[i]) {
                    if (runs[seen[i]].attempt.rfind("deadly", 0) == 0) {
                        arrivals_.push_back(runs[seen[i]].at);
                        crashes.emplace_back([this, i] { crash(i); });
                    }
                }
            }
            sleep_ms(5);
        }
        for (std::thread& each : crashes) {
            each.join();
        }
    }

    /** @return arrivals of the deadly request later than contact after its third crash. */
    [[nodiscard]] int late_arrivals() const
    {
        if (crashed_.size() < crashes_counted) {
            return 0;
        }
        long const from = crashed_[crashes_counted - 1] + contact_ms;
        return static_cast<int>(std::count_if(arrivals_.begin(), arrivals_.end(),
                                              [from](long at) { return at > from; }));
    }
    [[nodiscard]] std::size_t crashes() const { return crashed_.size(); }

private:
    void crash(std::size_t number)
    {
        target& server = *servers_[number];
        sleep_ms(crash_after_ms);
        {
            std::lock_guard const lock(mutex_);
            if (down_[number]) {
                return;
            }
            down_[number] = true;
            crashed_.push_back(notes_.now());
        }
        notes_.note("server " + server.id() + " crashes");
        server.stop();
        sleep_ms(back_after_ms);
        server.born_again();
        server.start("127.0.0.1", port_ + static_cast<int>(number));
        server.report(objects_);
        std::lock_guard const lock(mutex_);
        down_[number] = false;
    }

    store& objects_;
    int port_;
    record& notes_;
    std::vector<std::unique_ptr<target>> servers_;
    std::mutex mutex_;
    std::array<bool, servers_count> down_{};
    std::vector<long> crashed_;
    std::vector<long> arrivals_; ///< of the deadly request
};

/** One copy of the deadly request, whose client leaves early. */
void send_deadly(entry_host const& host, int number, record& notes)
{
    message request;
    request.start = std::string("GET ") + deadly_path + " HTTP/1.1";
    std::string const attempt = "deadly-" + std::to_string(number);
    request.fields = {{"Host", host_name},
                      {"X-Attempt-Id", attempt},
                      {"X-Deadline-Ms", std::to_string(deadline_ms)}};
    auto link = connection::to(host.ip(), host.front(), milliseconds(1000));
    if (!link.open() || !link.send(request.text())) {
        return;
    }
    notes.note("a client sends " + attempt + " to " + host.name());
    auto const got = link.receive(milliseconds(leave_after_ms));
    notes.note(attempt + (got ? ": status " + std::to_string(got->status())
                              : std::string(": the client leaves")));
}

int run_case(std::string const& folder, record& notes)
{
    int const port = free_ports(20);
    store objects;
    objects.put("config", "main",
                config_spec({{"/order/", "desk", false}, {"/view/", "desk", true}}, "00000007"));
    crash_pool servers(objects, port + 8, notes);
    if (!objects.start("127.0.0.1", port + 6) || !servers.start()) {
        return 2;
    }
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
    std::atomic<bool> stop{false};
    std::atomic<int> served{0};
    std::atomic<int> lost{0};
    std::vector<std::thread> threads;
    threads.emplace_back([&] { servers.watch(stop); });
    for (int i = 0; i < 6; ++i) {
        threads.emplace_back([&, i] {
            for (int n = 0; !stop; ++n) {
                entry_host const& host = *hosts[(i + n) % hosts.size()];
                std::string const attempt = "o" + std::to_string(i) + "-" + std::to_string(n);
                auto const got = call(host.ip(), host.front(), "POST", "/order/x", attempt);
                notes.note("order " + attempt + ": status " + std::to_string(got.status));
                served += got.status == 200 ? 1 : 0;
                lost += got.status == 502 || got.status == 504 || got.status == 0 ? 1 : 0;
                sleep_ms(50);
            }
        });
    }
    sleep_ms(4000);
    for (int i = 0; i < copies; ++i) {
        if (trouble_wanted()) {
            send_deadly(*hosts[i % hosts.size()], i, notes);
        }
        sleep_ms(copy_interval_ms - leave_after_ms);
    }
    sleep_ms(crash_after_ms + 500);
    stop = true;
    for (std::thread& each : threads) {
        each.join();
    }
    int const late = servers.late_arrivals();
    std::printf("%zu crashes; later than `contact` after the third one the request reached servers "
                "%d times; orders served %d, lost %d\n",
                servers.crashes(), late, served.load(), lost.load());
    notes.note("late arrivals " + std::to_string(late));
    if (served == 0) {
        return 2;
    }
    bool const broken = late > allowed_retries;
    std::printf("%s\n", broken ? "BROKEN: BUDGET" : "held");
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
