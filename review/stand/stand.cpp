/** @file Stand-ins for the cases of the review. */

#include "stand.h"

#include <arpa/inet.h>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

extern char** environ; // NOLINT

namespace review {

namespace {

constexpr std::size_t page_size = 500;
constexpr int store_threads = 96;
constexpr int server_threads = 24;
constexpr int keep_alive_s = 10;
constexpr int many = 1'000'000;
constexpr double poll_s = 0.02;

std::string three_decimals(double value)
{
    char buffer[32];
    std::snprintf(buffer, sizeof buffer, "%9.3f", value);
    return buffer;
}

} // namespace

void sleep_s(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

bool trouble()
{
    char const* const value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

record& record::get()
{
    static record one;
    return one;
}

void record::open(std::string const& path)
{
    file_ = std::fopen(path.c_str(), "w");
}

double record::now() const
{
    return std::chrono::duration<double>(steady::now() - start_).count();
}

void record::line(std::string const& text)
{
    if (paused_) {
        return;
    }
    std::lock_guard const lock(mutex_);
    std::FILE* const to = file_ == nullptr ? stdout : file_;
    std::fprintf(to, "%s  %s\n", three_decimals(now()).c_str(), text.c_str());
    std::fflush(to);
}

listener::listener(std::string host, int port, int threads) : host_(std::move(host)), port_(port)
{
    server.new_task_queue = [threads] {
        return new httplib::ThreadPool(static_cast<std::size_t>(threads));
    };
    server.set_keep_alive_max_count(many);
    server.set_keep_alive_timeout(keep_alive_s);
    server.set_tcp_nodelay(true);
}

listener::~listener()
{
    stop();
}

void listener::start()
{
    if (!server.bind_to_port(host_, port_)) {
        record::get().line("cannot listen on " + host_ + ":" + std::to_string(port_));
        std::exit(exit_not_run); // NOLINT(concurrency-mt-unsafe)
    }
    thread_ = std::thread([this] { server.listen_after_bind(); });
}

void listener::stop()
{
    if (thread_.joinable()) {
        server.stop();
        thread_.join();
    }
}

store::store(int port) : listener_("127.0.0.1", port, store_threads)
{
    auto const objects = R"(/sycamorecove/objects/([^/]+))";
    auto const object = R"(/sycamorecove/objects/([^/]+)/([^/]+))";
    listener_.server.Get(objects, [this](auto const& request, auto& response) {
        request.has_param("watch") ? watch(request, response) : list(request, response);
    });
    listener_.server.Post(
        objects, [this](auto const& request, auto& response) { write(request, response, true); });
    listener_.server.Put(
        object, [this](auto const& request, auto& response) { write(request, response, false); });
    listener_.start();
}

store::~store()
{
    {
        std::lock_guard const lock(mutex_);
        closing_ = true;
    }
    changed_.notify_all();
    listener_.stop();
}

json store::to_json(std::string const& name, object const& what)
{
    return {{"metadata",
             {{"name", name},
              {"revision", what.revision},
              {"create_revision", what.created},
              {"finalizers", json::array()},
              {"deleting", false}}},
            {"spec", what.spec},
            {"status", nullptr}};
}

void store::answer(httplib::Response& response, int status, json const& body) const
{
    response.status = status;
    response.set_header("Store-Era", std::to_string(era_));
    response.set_content(body.dump(), "application/json");
}

/** Changes or, without @p spec, removes an object. The caller holds the lock. */
void store::change(std::string const& kind, std::string const& name, json const* spec)
{
    auto& objects = state_.objects[kind];
    auto const found = objects.find(name);
    if (spec == nullptr ? found == objects.end()
                        : found != objects.end() && found->second.spec == *spec) {
        return; // a call that changes nothing makes no event
    }
    ++state_.revision;
    object next = found == objects.end() ? object{} : found->second;
    next.revision = state_.revision;
    next.created = next.created == 0 ? state_.revision : next.created;
    if (spec != nullptr) {
        next.spec = *spec;
        objects[name] = next;
    }
    else {
        objects.erase(name);
    }
    state_.history.push_back({state_.revision, kind, to_json(name, next), spec == nullptr});
    changed_.notify_all();
}

double store::put(std::string const& kind, std::string const& name, json const& spec)
{
    std::lock_guard const lock(mutex_);
    change(kind, name, &spec);
    record::get().line("store: " + kind + "/" + name + " written, revision " +
                       std::to_string(state_.revision));
    return record::get().now();
}

double store::remove(std::string const& kind, std::string const& name)
{
    std::lock_guard const lock(mutex_);
    change(kind, name, nullptr);
    record::get().line("store: " + kind + "/" + name + " removed, revision " +
                       std::to_string(state_.revision));
    return record::get().now();
}

void store::copy()
{
    std::lock_guard const lock(mutex_);
    copy_ = state_;
    record::get().line("store: copy taken at revision " + std::to_string(copy_.revision));
}

void store::come_back_from_copy(double away_s)
{
    {
        std::lock_guard const lock(mutex_);
        away_ = true;
        record::get().line("store: away at revision " + std::to_string(state_.revision));
    }
    changed_.notify_all();
    sleep_s(away_s);
    std::lock_guard const lock(mutex_);
    state_ = copy_;
    ++era_;
    away_ = false;
    record::get().line("store: back from the copy, revision " + std::to_string(state_.revision) +
                       ", era " + std::to_string(era_));
}

std::uint64_t store::revision()
{
    std::lock_guard const lock(mutex_);
    return state_.revision;
}

std::size_t store::count(std::string const& kind)
{
    std::lock_guard const lock(mutex_);
    return state_.objects[kind].size();
}

bool store::has(std::string const& kind, std::string const& name)
{
    std::lock_guard const lock(mutex_);
    return state_.objects[kind].contains(name);
}

void store::list(httplib::Request const& request, httplib::Response& response)
{
    std::lock_guard const lock(mutex_);
    if (away_) {
        answer(response, 503, json::object());
        return;
    }
    json items = json::array();
    bool has_more = false;
    auto const& objects = state_.objects[request.matches[1]];
    std::string const after = request.get_param_value("after");
    for (auto at = after.empty() ? objects.begin() : objects.upper_bound(after);
         at != objects.end(); ++at) {
        has_more = items.size() >= page_size;
        if (has_more) {
            break;
        }
        items.push_back(to_json(at->first, at->second));
    }
    answer(response, 200,
           {{"items", items}, {"has_more", has_more}, {"store_revision", state_.revision}});
}

void store::watch(httplib::Request const& request, httplib::Response& response)
{
    std::string const kind = request.matches[1];
    std::uint64_t const from = std::stoull(request.get_param_value("watch"));
    std::string const wait = request.get_param_value("wait_ms");
    auto const end = steady::now() + std::chrono::milliseconds(wait.empty() ? 0 : std::stoi(wait));
    std::unique_lock lock(mutex_);
    int const era = era_;
    json events = json::array();
    auto const collect = [&] {
        if (closing_ || away_ || era != era_ || from > state_.revision) {
            return true;
        }
        for (event const& each : state_.history) {
            if (each.revision > from && each.kind == kind) {
                events.push_back({{"deleted", each.deleted}, {"object", each.object}});
            }
        }
        return !events.empty();
    };
    changed_.wait_until(lock, end, collect);
    if (closing_ || away_ || era != era_) {
        answer(response, 503, json::object());
    }
    else if (from > state_.revision) {
        answer(response, 410, json::object());
    }
    else {
        answer(response, 200, {{"events", events}, {"store_revision", state_.revision}});
    }
}

void store::write(httplib::Request const& request, httplib::Response& response, bool create)
{
    std::lock_guard const lock(mutex_);
    if (away_) {
        answer(response, 503, json::object());
        return;
    }
    json const body = json::parse(request.body);
    std::string const kind = request.matches[1];
    std::string const name =
        create ? body["metadata"]["name"].get<std::string>() : std::string(request.matches[2]);
    auto const& objects = state_.objects[kind];
    bool const known = objects.contains(name);
    if (create == known) {
        answer(response, create ? 409 : 404, known ? to_json(name, objects.at(name)) : json());
        return;
    }
    json const spec = body.value("spec", json());
    change(kind, name, &spec);
    record::get().line("store: " + kind + "/" + name + (create ? " created" : " replaced") +
                       " by a machine, revision " + std::to_string(state_.revision));
    answer(response, create ? 201 : 200, to_json(name, objects.at(name)));
}

void run_log::add(run const& what)
{
    std::lock_guard const lock(mutex_);
    runs_.push_back(what);
}

std::vector<run> run_log::of(std::string const& attempt)
{
    std::lock_guard const lock(mutex_);
    std::vector<run> out;
    for (run const& each : runs_) {
        if (each.attempt == attempt) {
            out.push_back(each);
        }
    }
    return out;
}

backend::backend(store& where, run_log& log, std::string id, std::string service, std::string zone,
                 int port)
    : store_(where), log_(log), id_(std::move(id)), service_(std::move(service)),
      zone_(std::move(zone)), born_(std::chrono::duration_cast<std::chrono::milliseconds>(
                                        std::chrono::system_clock::now().time_since_epoch())
                                        .count()),
      listener_("127.0.0.1", port, server_threads)
{
    auto const handler = [this](auto const& request, auto& response) { serve(request, response); };
    listener_.server.Get(".*", handler);
    listener_.server.Post(".*", handler);
    listener_.server.Put(".*", handler);
    listener_.start();
    report("ready");
}

backend::~backend()
{
    listener_.stop();
}

void backend::report(std::string const& state)
{
    store_.put("servers", id_,
               {{"address", "127.0.0.1:" + std::to_string(listener_.port())},
                {"born", born_},
                {"info", {{"service", service_}, {"version", "v1"}, {"zone", zone_}, {"slots", 6}}},
                {"status", {{"state", state}, {"seq", 1}, {"cold_remaining", "0ms"}}}});
}

void backend::leave()
{
    leaving_ = true;
    report("draining");
}

void backend::serve(httplib::Request const& request, httplib::Response& response)
{
    response.set_header("X-Instance-Id", id_);
    std::string const attempt = request.get_header_value("X-Attempt-Id");
    if (!attempt.empty()) {
        response.set_header("X-Attempt-Id", attempt);
    }
    if (leaving_) {
        response.set_header("Server-Leaving", "1");
    }
    if (request.path == "/healthz") {
        response.status = leaving_ ? 503 : 200;
        return;
    }
    if (request.has_header("X-Expect-Instance") &&
        request.get_header_value("X-Expect-Instance") != id_) {
        response.status = 421;
        return;
    }
    double const at = record::get().now();
    log_.add({at, attempt, id_, service_, zone_});
    record::get().line("server " + id_ + " (" + service_ + ", " + zone_ + ") runs " + attempt +
                       " " + request.method + " " + request.path);
    sleep_s(work_s);
    response.set_header("X-Server-Stamp", id_ + "." + attempt);
    response.set_header("X-Server-Load", "0,0,6");
    response.set_content("body of " + attempt, "text/plain");
}

int free_ports()
{
    constexpr int lowest = 20'000; // below the range that connections get
    constexpr int blocks = 120;
    constexpr int block = 100;
    for (int i = 0; i < blocks; ++i) {
        int const first = lowest + (static_cast<int>(::getpid()) + i) % blocks * block;
        bool free = true;
        for (int port = first; port < first + block && free; ++port) {
            int const socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            sockaddr_in any{};
            any.sin_family = AF_INET;
            any.sin_port = htons(static_cast<std::uint16_t>(port));
            free = ::bind(socket, reinterpret_cast<sockaddr*>(&any), sizeof any) == 0;
            ::close(socket);
        }
        if (free) {
            return first;
        }
    }
    return 0;
}

machine::machine(layout const& where, std::string name, std::string zone, std::string ip)
    : layout_(where), name_(std::move(name)), zone_(std::move(zone)), ip_(std::move(ip))
{
}

machine::~machine()
{
    if (pid_ > 0) {
        signal(SIGKILL);
        wait(grace_s);
    }
}

void machine::start(bool first_start)
{
    constexpr int peer_offset = 3;
    constexpr int relay_offset = 4;
    constexpr int metrics_offset = 5;
    auto const at = [this](int port) { return ip_ + ":" + std::to_string(port); };
    json regions;
    for (std::string const& zone : layout_.zones) {
        regions[zone] = "r1";
    }
    json settings{{"name", name_},
                  {"zone", zone_},
                  {"region", "r1"},
                  {"regions", regions},
                  {"client_address", at(layout_.front())},
                  {"readiness_address", at(layout_.readiness())},
                  {"directory_address", at(layout_.directory())},
                  {"metrics_address", at(layout_.first_port + metrics_offset)},
                  {"ip", ip_},
                  {"peer_port", layout_.first_port + peer_offset},
                  {"relay_port", layout_.first_port + relay_offset},
                  {"seeds", seeds},
                  {"store_address", "127.0.0.1:" + std::to_string(layout_.store())},
                  {"heartbeat", "1500ms"},
                  {"drain", "2000ms"},
                  {"grace", "6s"},
                  {"answer_lifetime_max", "5s"},
                  {"repeat_ratio", 0.2},
                  {"repeat_window", "10s"},
                  {"repeat_slack", 56},
                  {"shift_cap", 0.15},
                  {"first_start", first_start}};
    if (!relays) {
        settings.erase("relay_port");
    }
    std::string const runs = program.empty() ? layout_.program : program;
    std::string const file = layout_.folder + "/" + name_ + ".json";
    std::ofstream(file) << settings.dump(1) << "\n";
    std::string const log = layout_.folder + "/" + name_ + ".out";
    std::vector<std::string> words{runs, "--settings", file};
    std::vector<char*> arguments;
    arguments.reserve(words.size() + 1);
    for (std::string& word : words) {
        arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    int const failed =
        ::posix_spawn(&pid_, runs.c_str(), &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failed != 0) {
        record::get().line("cannot start " + runs);
        std::exit(exit_not_run); // NOLINT(concurrency-mt-unsafe)
    }
    std::ofstream(layout_.folder + "/pids", std::ios::app) << pid_ << "\n";
    record::get().line("machine " + name_ + " (" + zone_ + ", " + ip_ + ") starts, process " +
                       std::to_string(pid_) + (program.empty() ? "" : ", of the build before"));
}

void machine::signal(int number) const
{
    if (pid_ > 0) {
        record::get().line("machine " + name_ + " gets signal " + std::to_string(number));
        ::kill(pid_, number);
    }
}

bool machine::wait(double seconds)
{
    double const end = record::get().now() + seconds;
    while (pid_ > 0) {
        int status = 0;
        if (::waitpid(pid_, &status, WNOHANG) == pid_) {
            record::get().line("machine " + name_ + ": process ended, " +
                               (WIFSIGNALED(status)
                                    ? "signal " + std::to_string(WTERMSIG(status))
                                    : "exit code " + std::to_string(WEXITSTATUS(status))));
            pid_ = -1;
            return true;
        }
        if (record::get().now() > end) {
            return false;
        }
        sleep_s(poll_s);
    }
    return true;
}

void machine::stop()
{
    signal(SIGTERM);
    if (!wait(grace_s)) {
        signal(SIGKILL);
        wait(grace_s);
    }
}

bool machine::ready() const
{
    httplib::Client client(ip_, layout_.readiness());
    client.set_connection_timeout(1);
    client.set_read_timeout(1);
    auto const got = client.Get("/sycamorecove/readyz");
    return got && got->status == 200;
}

bool machine::wait_ready(double seconds) const
{
    double const end = record::get().now() + seconds;
    while (!ready()) {
        if (record::get().now() > end) {
            record::get().line("machine " + name_ + " does not become ready");
            return false;
        }
        sleep_s(poll_s);
    }
    record::get().line("machine " + name_ + " is ready");
    return true;
}

reply ask(layout const& where, machine const& host, std::string const& method,
          std::string const& path)
{
    static std::atomic<int> next{1};
    constexpr int deadline_ms = 2000;
    reply out;
    out.attempt = "a" + std::to_string(next++);
    out.sent = record::get().now();
    record::get().line("client sends " + out.attempt + " " + method + " " + path + " to " +
                       host.name());
    httplib::Client client(host.ip(), where.front());
    client.set_connection_timeout(1);
    client.set_read_timeout(4);
    httplib::Request request;
    request.method = method;
    request.path = path;
    request.headers = {{"Host", "desk.example"},
                       {"X-Attempt-Id", out.attempt},
                       {"X-Deadline-Ms", std::to_string(deadline_ms)}};
    auto const got = client.send(request);
    if (got) {
        out.status = got->status;
        out.stamp = got->get_header_value("X-Server-Stamp");
    }
    record::get().line("client gets " + std::to_string(out.status) + " for " + out.attempt +
                       (out.stamp.empty() ? "" : ", stamp " + out.stamp));
    return out;
}

json config_spec(int version, std::map<std::string, std::string> const& routes)
{
    char text[16];
    std::snprintf(text, sizeof text, "%08x", static_cast<unsigned>(version));
    json resources = json::array();
    std::set<std::string> services;
    for (auto const& [path, service] : routes) {
        services.insert(service);
        resources.push_back({{"resource_kind", "routes"},
                             {"metadata", {{"name", "route" + path}}},
                             {"spec",
                              {{"host", "desk.example"},
                               {"path_prefix", path},
                               {"kind", "idempotent"},
                               {"timeout", "2000ms"},
                               {"target_latency", "250ms"},
                               {"priority", 1},
                               {"service", service},
                               {"max_attempts", 2},
                               {"sticky_sessions", false},
                               {"home_regions", json::array()}}}});
    }
    for (std::string const& service : services) {
        resources.push_back({{"resource_kind", "services"},
                             {"metadata", {{"name", service}}},
                             {"spec",
                              {{"health_path", "/healthz"},
                               {"max_conns", 330},
                               {"cold_start", "3s"},
                               {"cold_per_s", 13.0}}}});
    }
    resources.push_back({{"resource_kind", "limits"},
                         {"metadata", json::object()},
                         {"spec",
                          {{"max_header_bytes", 16384},
                           {"max_body_bytes", 67108864},
                           {"header_timeout", "3000ms"},
                           {"idle_timeout", "15000ms"}}}});
    return {{"version", text}, {"resources", resources}};
}

std::string tally::text() const
{
    return std::to_string(asked) + " asked, " + std::to_string(stale) +
           " run as only the state before allows, " + std::to_string(failed) + " not answered 200";
}

deployment::deployment(layout settings) : where(std::move(settings)), platform(where.store()) {}

void deployment::add_server(std::string const& service, std::string const& zone)
{
    std::string const id = "i-" + std::to_string(next_server_);
    servers.push_back(
        std::make_unique<backend>(platform, runs, id, service, zone, where.server(next_server_++)));
}

void deployment::start_servers(std::vector<std::string> const& services)
{
    platform.put("config", "main", config_spec(1, {{"/desk/", services.front()}}));
    for (std::string const& zone : where.zones) {
        for (std::string const& service : services) {
            add_server(service, zone);
            add_server(service, zone);
        }
    }
}

std::size_t deployment::add_machines(std::size_t zone, int first, int last)
{
    std::size_t const known = machines.size();
    for (int number = first; number <= last; ++number) {
        machines.push_back(std::make_unique<machine>(
            where, where.zones[zone] + "-" + std::to_string(number), where.zones[zone],
            "127.77." + std::to_string(zone + 1) + "." + std::to_string(number)));
        machines.back()->seeds = {"127.77.1.1:1", "127.77.2.1:1"};
    }
    return machines.size() - known;
}

void deployment::start_machines(std::size_t zone, int first, int last, bool first_start)
{
    std::size_t const known = machines.size();
    add_machines(zone, first, last);
    for (std::size_t i = known; i < machines.size(); ++i) {
        machines[i]->start(first_start);
    }
}

bool deployment::wait_ready(double seconds) const
{
    return std::all_of(machines.begin(), machines.end(),
                       [seconds](auto const& each) { return each->wait_ready(seconds); });
}

tally deployment::watch(double seconds, double from,
                        std::function<bool(run const&)> const& is_stale)
{
    constexpr double pause_s = 0.1;
    tally out;
    double const end = record::get().now() + seconds;
    while (record::get().now() < end) {
        for (auto const& each : machines) {
            reply const got = ask(where, *each, method, "/desk/7");
            if (got.sent < from) {
                continue;
            }
            ++out.asked;
            out.failed += got.status == 200 ? 0 : 1;
            for (run const& what : runs.of(got.attempt)) {
                out.stale += is_stale(what) ? 1 : 0;
            }
        }
        sleep_s(pause_s);
    }
    return out;
}

json once_config()
{
    json config = config_spec(2, {{"/desk/", "desk"}});
    for (json& each : config["resources"]) {
        if (each["resource_kind"] == "routes") {
            each["spec"]["sticky_sessions"] = true;
            each["spec"]["kind"] = "non_idempotent";
            each["spec"]["timeout"] = "5000ms";
        }
    }
    return config;
}

httplib::Headers attempt_headers(std::string const& attempt)
{
    return {{"Host", "desk.example"},
            {"X-Attempt-Id", attempt},
            {"X-Deadline-Ms", "5000"},
            {"X-Affinity-Key", attempt}};
}

kept_callers::kept_callers(deployment& all, int count) : all_(all)
{
    for (int i = 0; i < count; ++i) {
        threads_.emplace_back([this, i] { run(i); });
    }
}

kept_callers::~kept_callers()
{
    end();
}

int kept_callers::end()
{
    done_ = true;
    for (std::thread& each : threads_) {
        each.join();
    }
    threads_.clear();
    return lost_;
}

void kept_callers::run(int number)
{
    constexpr double pause_s = 0.05;
    auto const index = static_cast<std::size_t>(number) % all_.machines.size();
    machine const& host = *all_.machines[index];
    httplib::Client client(host.ip(), all_.where.front());
    client.set_keep_alive(true);
    client.set_connection_timeout(1);
    client.set_read_timeout(5);
    bool kept = false;
    for (int i = 0; !done_; ++i) {
        std::string const attempt = "c" + std::to_string(number) + "-" + std::to_string(i);
        auto const got = client.Post("/desk/short", attempt_headers(attempt), "x", "text/plain");
        int const status = got ? got->status : 0;
        ++asked_;
        served_ += status == 200 ? 1 : 0;
        record::get().line("client gets " + std::to_string(status) + " for " + attempt + " from " +
                           host.name() + (kept ? "" : " (new connection)"));
        if (status == 0 && kept && !all_.runs.of(attempt).empty()) {
            record::get().line("lost: " + attempt + " ran, its kept connection was closed");
            ++lost_;
        }
        kept = status != 0;
        sleep_s(pause_s);
    }
}

int play_case(int argc, char** argv, std::function<int(deployment&)> const& play)
{
    constexpr int arguments = 4;
    std::signal(SIGPIPE, SIG_IGN); // NOLINT(cert-err33-c)
    if (argc != arguments) {
        return exit_not_run;
    }
    record::get().open(argv[3]);
    layout where;
    where.folder = argv[1];
    where.program = argv[2];
    where.first_port = free_ports();
    where.zones = {"east", "west"};
    record::get().line(trouble() ? "with the disruption" : "without the disruption");
    int result = exit_not_run;
    if (where.first_port != 0) {
        deployment all(where);
        result = play(all);
        record::get().line(result == exit_broken ? "the rule was broken"
                           : result == exit_held ? "the rule held"
                                                 : "the case could not run");
    }
    return result;
}

} // namespace review
