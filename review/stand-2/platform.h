#pragma once
/** @file Stand-ins for the platform's store and for a server, and the record of a case. */

#include "wire.h"

#include <condition_variable>
#include <cstdio>
#include <map>
#include <nlohmann/json.hpp>

namespace stand {

using nlohmann::json;

/** Writes what was sent, answered and run to a file, with the time in ms since the start. */
class record {
public:
    explicit record(std::string const& path);
    ~record();
    record(record const&) = delete;
    record& operator=(record const&) = delete;
    record(record&&) = delete;
    record& operator=(record&&) = delete;

    void note(std::string const& line);
    [[nodiscard]] long now() const { return ms_since(start_); }

private:
    std::mutex mutex_;
    std::FILE* file_;
    moment start_ = clock::now();
};

/** The platform's store: objects of kinds, lists in pages, watches, one revision counter. */
class store {
public:
    store();

    bool start(std::string const& ip, int port) { return server_.start(ip, port); }
    void stop();

    /** Creates or replaces an object. */
    void put(std::string const& kind, std::string const& name, json const& spec);
    void remove(std::string const& kind, std::string const& name);

    /** While it is down, every call gets 503, which means that nothing was done. */
    void set_down(bool down);
    void set_page(std::size_t items) { page_ = items; }
    /** Reads with stale_ok are answered in turn by copies that are so old. */
    void set_copies(std::vector<long> ages_ms);
    /** @return how many calls of @p method and kind were answered with 200. */
    int calls(std::string const& what);

private:
    struct change {
        std::uint64_t revision = 0;
        moment at;
        std::string kind;
        std::string name;
        json object;
        bool deleted = false;
    };

    std::optional<message> answer(message const& request);
    message list(std::string const& kind, std::map<std::string, std::string> const& query);
    std::optional<message> watch(std::string const& kind, std::uint64_t from, long wait_ms);
    message write(message const& request, std::string const& kind, std::string const& name);
    void apply(std::string const& kind, std::string const& name, json const* spec);

    std::mutex mutex_;
    std::condition_variable changed_;
    std::uint64_t revision_ = 10;
    std::map<std::string, std::map<std::string, json>> objects_;
    std::vector<change> history_;
    std::map<std::string, int> calls_;
    std::vector<long> copy_ages_;
    std::size_t stale_reads_ = 0;
    std::size_t page_ = 500;
    bool down_ = false;
    bool closing_ = false;
    server server_;
};

/** A server of a service. It runs each request for a fixed time. */
class target {
public:
    struct run {
        long at = 0;
        std::string attempt;
        std::string method;
    };

    target(std::string id, std::string service, std::string zone, record& notes);

    bool start(std::string const& ip, int port);
    void stop();
    /** Puts its entry into the store. */
    void report(store& where, std::string const& state = "ready");
    void leave() { leaving_ = true; }
    void set_work(long ms) { work_ms_ = ms; }
    /** Requests whose attempt ids begin so get no answer; the server is at work on them until it
     * stops. */
    void set_endless(std::string prefix) { endless_ = std::move(prefix); }

    [[nodiscard]] std::string const& id() const { return id_; }
    std::vector<run> runs();
    /** @return a new value of `born` for a start under the same id. */
    void born_again();

private:
    std::optional<message> answer(message const& request);

    std::string id_;
    std::string service_;
    std::string zone_;
    record& notes_;
    std::string address_;
    std::atomic<bool> leaving_{false};
    std::atomic<long> work_ms_{20};
    std::atomic<long> born_{0};
    std::string endless_;
    std::atomic<bool> ended_{false};
    std::mutex mutex_;
    std::vector<run> runs_;
    server server_;
};

/** What the configuration says of a route. */
struct route {
    std::string prefix;
    std::string service;
    bool idempotent = false;
};

/** @return the configuration as the operator writes it. */
json config_spec(std::vector<route> const& routes, std::string const& version);

constexpr char const* host_name = "drill.example";

} // namespace stand
