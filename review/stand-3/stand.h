#pragma once
/** @file Stand-ins for the platform, servers and clients of one small deployment; Linux only. */

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace stand {

using json = nlohmann::json;
using std::chrono::milliseconds;
using clock = std::chrono::steady_clock;

constexpr char const* host_name = "desk.example"; ///< of all routes
constexpr milliseconds cold_start{3000};          ///< of all services

/** Sleeps. */
void pause(milliseconds time);

/** @return whether the script plays its disruption: unless TROUBLE is 0. */
bool trouble();

/** Writes record.txt; each line begins with the milliseconds since the start. */
class record {
public:
    explicit record(std::string const& path);
    ~record();
    record(record const&) = delete;
    record& operator=(record const&) = delete;
    record(record&&) = delete;
    record& operator=(record&&) = delete;

    void line(std::string const& text);

    /** Sets whether lines of servers about requests are written, which may be very many. */
    void keep_runs(bool keep) { keeps_runs_ = keep; }
    [[nodiscard]] bool keeps_runs() const { return keeps_runs_; }

private:
    std::mutex mutex_;
    std::atomic<bool> keeps_runs_{true};
    std::FILE* file_;
    clock::time_point started_ = clock::now();
};

/** A message of HTTP/1.1: its first line and fields; names of fields in lower case. */
struct message {
    std::string first_line;
    std::map<std::string, std::string> fields;
    std::string body;

    [[nodiscard]] std::string field(std::string const& name) const;
};

/** A connected socket with what was read and not used yet; closed at the end. */
class connection {
public:
    explicit connection(int socket) : socket_(socket) {}
    ~connection();
    connection(connection const&) = delete;
    connection& operator=(connection const&) = delete;
    connection(connection&&) = delete;
    connection& operator=(connection&&) = delete;

    /** @return a connection to IP:port, or nothing. */
    static std::unique_ptr<connection> open(std::string const& ip, int port);

    bool send(std::string const& bytes);

    /** Reads a message with a length or in chunks; @p keep_body false: the body is discarded. */
    std::optional<message> read(milliseconds timeout, bool keep_body = true);

    /** Closes with a reset instead of an ordinary end. */
    void reset();

    [[nodiscard]] int socket() const { return socket_; }

private:
    bool fill();
    bool read_line(std::string& line);
    bool take(std::size_t size, std::string* out);

    int socket_;
    std::string buffer_;
};

/** Accepts connections on IP:port and serves each in a thread of its own. */
class listener {
public:
    using handler = std::function<void(std::shared_ptr<connection>)>;

    listener() = default;
    ~listener();
    listener(listener const&) = delete;
    listener& operator=(listener const&) = delete;
    listener(listener&&) = delete;
    listener& operator=(listener&&) = delete;

    bool start(std::string const& ip, int port, handler serve);

    /** Ends accepting and all connections, and waits for their threads. */
    void stop();

    /** Ends all connections; new ones get no reply, as of a machine without power. */
    bool go_dark();

    /** Accepts connections again after go_dark(). */
    void come_back();

private:
    void end_connections();

    int socket_ = -1;
    std::string ip_;
    int port_ = 0;
    std::atomic<bool> dark_{false};
    std::vector<int> pending_; ///< connections that fill the queue of the dark listener
    std::thread acceptor_;
    std::mutex mutex_;
    std::vector<std::thread> threads_;
    std::vector<std::weak_ptr<connection>> open_;
};

/** @return a port that is free at @p ip. */
int free_port(std::string const& ip);

/** The platform's store: objects, lists, watches, one revision counter. */
class store {
public:
    store() = default;
    ~store();
    store(store const&) = delete;
    store& operator=(store const&) = delete;
    store(store&&) = delete;
    store& operator=(store&&) = delete;

    bool start(std::string const& ip, int port);
    void stop();
    void put(std::string const& kind, std::string const& name, json const& spec);
    void remove(std::string const& kind, std::string const& name);

private:
    struct event {
        std::uint64_t revision = 0;
        std::string kind;
        json object;
        bool deleted = false;
    };
    struct item {
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        json spec;
    };

    static json to_json(std::string const& name, item const& of);
    void change(std::string const& kind, std::string const& name, json const* spec);
    void serve(connection& with);
    std::pair<int, json> answer(message const& request);
    json list(std::string const& kind, std::string const& after);
    std::pair<int, json> watch(std::string const& kind, std::uint64_t from, milliseconds wait);

    std::mutex mutex_;
    std::condition_variable changed_;
    bool closing_ = false;
    std::uint64_t revision_ = 1;
    std::map<std::string, std::map<std::string, item>> objects_;
    std::vector<event> history_;
    listener listener_;
};

/** What a route of the configuration is like. */
struct route {
    std::string name;
    std::string prefix;
    std::string kind; ///< idempotent or non_idempotent
    std::string service;
    milliseconds timeout{4000};
    int max_attempts = 2;
    milliseconds objective{600};
};

/** @return the spec of config/main. */
json config_spec(int version, std::vector<route> const& routes,
                 std::vector<std::string> const& services);

/** A server: runs requests in its slots and turns away what does not fit. */
class server {
public:
    /** @return how long the request is at work. */
    using work_time = std::function<milliseconds(message const& request)>;

    server(std::string id, std::string service, std::string zone, int slots, record& log,
           work_time work);

    bool start(std::string const& ip, int port, store& platform);
    void stop() { listener_.stop(); }

    /** Crashes: all connections end and new ones are refused, or get no reply if @p dark. */
    bool crash(bool dark);

    /** Starts again under its id, at the same address; it is cold until warm() is called. */
    bool come_back();
    void warm();

    /** @return how many requests it has begun to run. */
    [[nodiscard]] int runs() const { return runs_; }
    [[nodiscard]] std::string const& id() const { return id_; }

private:
    void report(milliseconds cold_left);
    void serve(connection& with);
    std::string answer(message const& request);

    std::string id_;
    std::string service_;
    std::string zone_;
    int slots_;
    record& log_;
    work_time work_;
    std::atomic<int> running_{0};
    std::atomic<int> runs_{0};
    std::string ip_;
    int port_ = 0;
    bool dark_ = false;
    store* platform_ = nullptr;
    std::int64_t born_ms_ = 0; ///< Unix time
    listener listener_;
};

/** One cove-host process with settings like those of a small deployment. */
class host {
public:
    struct place {
        std::string name;
        std::string ip;
        std::string zone;
        std::string region;
    };

    host(place where, json regions, std::string store_address, int peer_port, int relay_port,
         std::string folder);
    ~host();
    host(host const&) = delete;
    host& operator=(host const&) = delete;
    host(host&&) = delete;
    host& operator=(host&&) = delete;

    /** Sets the IPs of the other hosts. */
    void set_seeds(std::vector<std::string> const& ips);
    void start(bool first_start);
    void kill(int signal) const;

    /** Waits for the end of the process. @return its wait status, or nothing if it still runs. */
    std::optional<int> wait(milliseconds time);

    [[nodiscard]] bool running() const { return pid_ > 0; }
    [[nodiscard]] bool ready() const;
    [[nodiscard]] std::uint64_t resident_bytes() const;
    [[nodiscard]] std::string const& ip() const { return where_.ip; }
    [[nodiscard]] std::string const& name() const { return where_.name; }
    [[nodiscard]] int client_port() const { return client_port_; }
    [[nodiscard]] int directory_port() const { return directory_port_; }

    static constexpr int memory_mb = 260;

private:
    place where_;
    json settings_;
    std::string folder_;
    int client_port_;
    int readiness_port_;
    int directory_port_;
    int pid_ = -1;
};

/** @return the request with the fields that clients of this deployment send. */
std::string request_head(std::string const& method, std::string const& path, std::string const& id,
                         milliseconds deadline, std::uint64_t body_bytes);

/** @return IP addresses of the loopback range, other ones in each process. */
std::string loopback_ip(int number);

} // namespace stand
