#pragma once
/** @file Stand-ins for the cases of the review: the platform's store, servers, clients, machines.
 */

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <functional>
#include <httplib.h>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace review {

using json = nlohmann::json;
using steady = std::chrono::steady_clock;

void sleep_s(double seconds);

/** Writes what was sent, answered and run, with the time since the start. */
class record {
public:
    static record& get();
    void open(std::string const& path);
    void line(std::string const& text);
    /** Leaves out lines that are not needed to follow the case. */
    void pause(bool paused) { paused_ = paused; }
    [[nodiscard]] double now() const;

private:
    std::mutex mutex_;
    std::FILE* file_ = nullptr;
    std::atomic<bool> paused_{false};
    steady::time_point start_ = steady::now();
};

/** An HTTP server on its own thread. */
class listener {
public:
    listener(std::string host, int port, int threads);
    ~listener();
    listener(listener const&) = delete;
    listener& operator=(listener const&) = delete;
    listener(listener&&) = delete;
    listener& operator=(listener&&) = delete;

    httplib::Server server;
    void start();
    void stop();
    [[nodiscard]] int port() const { return port_; }

private:
    std::string host_;
    int port_;
    std::thread thread_;
};

/** The platform's store: objects by kind and name, lists, watches, one revision counter. */
class store {
public:
    explicit store(int port);
    ~store();
    store(store const&) = delete;
    store& operator=(store const&) = delete;
    store(store&&) = delete;
    store& operator=(store&&) = delete;

    /** What the operator or a server writes. @return the time of the acknowledgement. */
    double put(std::string const& kind, std::string const& name, json const& spec);
    double remove(std::string const& kind, std::string const& name);

    /** Takes a copy of the present state. */
    void copy();
    /** The store answers 503 for a while, then it is back with the copy, in the next era. */
    void come_back_from_copy(double away_s);

    [[nodiscard]] std::uint64_t revision();
    [[nodiscard]] std::size_t count(std::string const& kind);
    [[nodiscard]] bool has(std::string const& kind, std::string const& name);

private:
    struct object {
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        json spec;
    };
    struct event {
        std::uint64_t revision = 0;
        std::string kind;
        json object;
        bool deleted = false;
    };
    struct state {
        std::uint64_t revision = 1;
        std::map<std::string, std::map<std::string, object>> objects;
        std::deque<event> history;
    };

    void list(httplib::Request const& request, httplib::Response& response);
    void watch(httplib::Request const& request, httplib::Response& response);
    void write(httplib::Request const& request, httplib::Response& response, bool create);
    void change(std::string const& kind, std::string const& name, json const* spec);
    static json to_json(std::string const& name, object const& what);
    void answer(httplib::Response& response, int status, json const& body) const;

    std::mutex mutex_;
    std::condition_variable changed_;
    state state_;
    state copy_;
    int era_ = 1;
    bool away_ = false;
    bool closing_ = false;
    listener listener_;
};

/** One run of a request by a server. */
struct run {
    double at = 0;
    std::string attempt;
    std::string server;
    std::string service;
    std::string zone;
};

/** All runs, in the order in which they began. */
class run_log {
public:
    void add(run const& what);
    [[nodiscard]] std::vector<run> of(std::string const& attempt);

private:
    std::mutex mutex_;
    std::vector<run> runs_;
};

/** A server of a service; it reports to the store and answers as the pages say. */
class backend {
public:
    backend(store& where, run_log& log, std::string id, std::string service, std::string zone,
            int port);
    ~backend();
    backend(backend const&) = delete;
    backend& operator=(backend const&) = delete;
    backend(backend&&) = delete;
    backend& operator=(backend&&) = delete;

    void report(std::string const& state);
    void leave();
    [[nodiscard]] std::string const& zone() const { return zone_; }

    [[nodiscard]] std::string const& id() const { return id_; }

    static inline std::atomic<double> work_s{0.02}; ///< of each run

private:
    void serve(httplib::Request const& request, httplib::Response& response);

    store& store_;
    run_log& log_;
    std::string id_;
    std::string service_;
    std::string zone_;
    std::atomic<bool> leaving_{false};
    long born_;
    listener listener_;
};

/** The ports and addresses of a deployment. */
struct layout {
    int first_port = 0;
    std::string folder;  ///< for settings and logs
    std::string program; ///< cove-host
    std::vector<std::string> zones;
    [[nodiscard]] int front() const { return first_port; }
    [[nodiscard]] int readiness() const { return first_port + 1; }
    [[nodiscard]] int directory() const { return first_port + 2; }
    [[nodiscard]] int store() const { return first_port + 8; }
    [[nodiscard]] int server(int number) const { return first_port + 10 + number; }
};

/** @return ports that are free at the moment. */
int free_ports();

/** A machine that runs the entry host, at an address of its own. */
class machine {
public:
    machine(layout const& where, std::string name, std::string zone, std::string ip);
    ~machine();
    machine(machine const&) = delete;
    machine& operator=(machine const&) = delete;
    machine(machine&&) = delete;
    machine& operator=(machine&&) = delete;

    void start(bool first_start);
    void signal(int number) const;
    /** Waits for the end of the process. @return whether it ended in that time. */
    bool wait(double seconds);
    /** SIGTERM, and SIGKILL after the grace time. */
    void stop();
    [[nodiscard]] bool ready() const;
    /** @return whether it has become ready in that time. */
    [[nodiscard]] bool wait_ready(double seconds) const;
    [[nodiscard]] std::string const& name() const { return name_; }
    [[nodiscard]] std::string const& ip() const { return ip_; }
    [[nodiscard]] std::string const& zone() const { return zone_; }
    [[nodiscard]] pid_t pid() const { return pid_; }
    std::vector<std::string> seeds;
    std::string program; ///< cove-host; empty: that of the layout
    bool relays = true;  ///< whether the build of the program knows relay_port

private:
    layout const& layout_;
    std::string name_;
    std::string zone_;
    std::string ip_;
    pid_t pid_ = -1;
};

/** The answer to one attempt of a client. */
struct reply {
    int status = 0; ///< 0: none
    std::string attempt;
    std::string stamp;
    double sent = 0;
};

/** Sends one attempt to the machine and waits for its answer. */
reply ask(layout const& where, machine const& host, std::string const& method,
          std::string const& path);

/** @return a configuration with one route for each pair of path and service. */
json config_spec(int version, std::map<std::string, std::string> const& routes);

constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_not_run = 2;

// The bounds of the small deployments.
constexpr double contact_s = 3;
constexpr double config_apply_s = 2;
constexpr double evacuation_s = 5;
constexpr double grace_s = 6;

/** @return whether the disruption is wanted. */
bool trouble();

/** What became of the requests of a span of time. */
struct tally {
    int asked = 0;
    int stale = 0;  ///< runs that only the state before a change allows
    int failed = 0; ///< not answered with 200
    [[nodiscard]] std::string text() const;
};

/** A small deployment: a store, servers and machines in two zones of one region. */
class deployment {
public:
    explicit deployment(layout where);

    /** Starts two servers of each service in each zone and writes the first configuration. */
    void start_servers(std::vector<std::string> const& services);
    void add_server(std::string const& service, std::string const& zone);
    /** Adds machines of a zone, numbers @p first to @p last, without starting them. */
    std::size_t add_machines(std::size_t zone, int first, int last);
    /** Starts machines of a zone: numbers @p first to @p last. */
    void start_machines(std::size_t zone, int first, int last, bool first_start);
    /** @return whether all machines are ready in that time. */
    [[nodiscard]] bool wait_ready(double seconds) const;
    /** Asks each machine for some seconds and counts the requests sent after @p from. */
    tally watch(double seconds, double from, std::function<bool(run const&)> const& is_stale);

    layout where;
    store platform;
    run_log runs;
    std::vector<std::unique_ptr<backend>> servers;
    std::vector<std::unique_ptr<machine>> machines;
    std::string method = "GET";

private:
    int next_server_ = 0;
};

/** @return version 2, with a sticky route of requests that may run once. */
json once_config();

/** @return the fields of a request that is not like another one. */
httplib::Headers attempt_headers(std::string const& attempt);

/** Clients that keep their connections and send short requests that may run once. */
class kept_callers {
public:
    kept_callers(deployment& all, int count);
    ~kept_callers();
    kept_callers(kept_callers const&) = delete;
    kept_callers& operator=(kept_callers const&) = delete;
    kept_callers(kept_callers&&) = delete;
    kept_callers& operator=(kept_callers&&) = delete;

    /** Ends them. @return requests that ran and whose kept connection was closed instead. */
    int end();
    [[nodiscard]] int served() const { return served_; }
    [[nodiscard]] int asked() const { return asked_; }

private:
    void run(int number);

    deployment& all_;
    std::atomic<bool> done_{false};
    std::atomic<int> lost_{0};
    std::atomic<int> served_{0};
    std::atomic<int> asked_{0};
    std::vector<std::thread> threads_;
};

/** Runs a case with the arguments FOLDER PROGRAM RECORD. @return the exit code. */
int play_case(int argc, char** argv, std::function<int(deployment&)> const& play);

} // namespace review
