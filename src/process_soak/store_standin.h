#pragma once
/** @file A stand-in for the platform's store: objects, lists, watches, one revision counter. */

#include "core/time_type.h"
#include "process_soak/http_listener.h"

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>

namespace cove {

class store_standin {
public:
    /** @param threads that answer; a watch that waits takes one. */
    explicit store_standin(std::size_t threads = 128);
    ~store_standin();
    store_standin(store_standin const&) = delete;
    store_standin& operator=(store_standin const&) = delete;
    store_standin(store_standin&&) = delete;
    store_standin& operator=(store_standin&&) = delete;

    /** @return whether it listens. */
    bool start(std::string const& ip, int port);

    /** Creates or replaces an object. @return the time of the acknowledgement. */
    mono_time put(std::string const& kind, std::string const& name, nlohmann::json const& spec);

    /** Removes an object if it exists. @return the time of the acknowledgement. */
    mono_time remove(std::string const& kind, std::string const& name);

private:
    struct object {
        std::uint64_t revision = 0;
        std::uint64_t create_revision = 0;
        nlohmann::json spec;
    };
    struct event {
        std::uint64_t revision = 0;
        std::string kind;
        nlohmann::json object;
        bool deleted = false;
    };

    static nlohmann::json to_json(std::string const& name, object const& item);
    void change(std::string const& kind, std::string const& name, nlohmann::json const* spec);
    void list(httplib::Request const& request, httplib::Response& response);
    void watch(httplib::Request const& request, httplib::Response& response);
    void write(httplib::Request const& request, httplib::Response& response, bool create);

    std::mutex mutex_;
    std::condition_variable changed_;
    std::uint64_t revision_ = 1;
    std::map<std::string, std::map<std::string, object>> objects_;
    std::deque<event> history_;
    bool closing_ = false;
    http_listener listener_;
};

} // namespace cove
