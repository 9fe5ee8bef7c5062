/** @file Both servers of a zone crash at the same time, one of them dark. */

#include "../stand-3/deployment.h"

#include <algorithm>
#include <array>

namespace {

using namespace stand;

constexpr milliseconds work{100};
constexpr milliseconds objective{70};
constexpr milliseconds deadline{3000};
constexpr milliseconds between_requests{110};
constexpr milliseconds calm{2500}; ///< with both servers warm
constexpr milliseconds down{3200};
constexpr int slots = 9;
constexpr int max_attempts = 3;
constexpr std::size_t other_servers = 21; ///< in the third zone
constexpr int crashes = 11;
constexpr int rule_ends = 3; ///< of each of two machines
constexpr std::array zones{"pomorze-a", "slask-a", "mazowsze-a"};

struct counts {
    std::atomic<int> sent{0};
    std::atomic<int> served{0};
};

/** Sends one idempotent request that concerns the object of its host. */
void send_one(deployment& all, std::size_t at, std::string const& id, counts& seen)
{
    host const& to = *all.hosts()[at];
    std::string request = request_head("GET", "/saldo/" + id, id, deadline, 0);
    request.insert(request.size() - 2, "X-Affinity-Key: 17\r\n");
    ++seen.sent;
    auto const got = ask(to.ip(), to.client_port(), request, deadline);
    bool const good = got && got->first_line.find(" 200") != std::string::npos;
    seen.served += good ? 1 : 0;
    if (!good) {
        all.log().line("answer to " + id + " of " + to.name() + ": " +
                       (got ? got->first_line : "none"));
    }
}

void send_requests(deployment& all, std::size_t at, counts& seen)
{
    std::vector<std::thread> open;
    for (int i = 0; !all.over(); ++i) {
        std::string const id = "r" + std::to_string(at) + "-" + std::to_string(i);
        open.emplace_back([&all, at, id, &seen] { send_one(all, at, id, seen); });
        pause(between_requests);
    }
    for (std::thread& each : open) {
        each.join();
    }
}

/** Lets the two servers of a zone crash; the one that runs more becomes dark. */
void crash_once(deployment& all, server& first, server& second)
{
    int const first_runs = first.runs();
    int const second_runs = second.runs();
    pause(calm);
    bool const first_is_used = first.runs() - first_runs >= second.runs() - second_runs;
    server& used = first_is_used ? first : second;
    server& other = first_is_used ? second : first;
    all.log().line(used.id() + " crashes and is dark, " + other.id() + " crashes");
    other.crash(false);
    if (!used.crash(true)) {
        all.log().line("new connections to " + used.id() + " still get a reply");
    }
    pause(down);
    used.come_back();
    other.come_back();
    all.log().line(used.id() + " and " + other.id() + " are back");
    pause(cold_start);
    used.warm();
    other.warm();
}

/** Plays the crashes of the zones of the first two hosts. */
void play(deployment& all)
{
    auto const enough = [&all] { return all.ends()[0] >= rule_ends && all.ends()[1] >= rule_ends; };
    for (int i = 0; i < crashes && trouble() && !enough(); ++i) {
        std::thread first([&all] { crash_once(all, *all.servers()[0], *all.servers()[1]); });
        crash_once(all, *all.servers()[2], *all.servers()[3]);
        first.join();
    }
    for (int i = 0; i < crashes && !trouble(); ++i) {
        pause(calm + down + cold_start);
    }
    pause(calm);
    all.finish();
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 2) {
        return 2;
    }
    deployment all(argv[1], {{{zones[0], "pomorze"}, {zones[1], "slask"}, {zones[2], "mazowsze"}},
                             {zones.begin(), zones.end()},
                             {{"saldo", "/saldo/", "idempotent", "ewidencja", milliseconds(3000),
                               max_attempts, objective}},
                             {"ewidencja"}});
    auto const work_of = [](message const&) { return work; };
    bool started = all.start_store();
    for (std::size_t i = 0; i < 4 + other_servers; ++i) {
        started =
            started && all.add_server("i-" + std::to_string(i), "ewidencja",
                                      zones.at(std::min<std::size_t>(i / 2, 2)), slots, work_of);
    }
    if (!started || !all.start_hosts()) {
        return 2;
    }
    all.watch_processes();
    counts seen;
    std::vector<std::thread> clients;
    for (std::size_t i = 0; i < 2; ++i) {
        clients.emplace_back([&all, i, &seen] { send_requests(all, i, seen); });
    }
    play(all);
    for (std::thread& each : clients) {
        each.join();
    }
    all.log().line(std::to_string(seen.served) + " of " + std::to_string(seen.sent) +
                   " requests served");
    bool const broken = all.ends()[0] >= rule_ends && all.ends()[1] >= rule_ends;
    all.log().line(broken ? "Fault: two machines of three, three ends each" : "held");
    return broken ? 1 : (seen.served > 0 ? 0 : 2);
}
