#pragma once
/**
 * @file In-memory test replacement for the platform's object store, served over HTTP.
 *
 * - `GET /v1/objects/NAME` returns the value, with its version in the header Cove-Version.
 *   With `?after=VERSION&wait_ms=TIME` it is a watch, counted as one call: it returns the
 *   value once the version is above VERSION, or 304 after TIME milliseconds.
 * - `PUT /v1/objects/NAME` stores the body. `If-Match: VERSION` makes it conditional; version 0
 *   means that the object must not exist. A failed condition returns 412, a value above
 *   1 MB with 413.
 * - `GET /v1/calls` returns the number of calls so far; it does not count itself.
 * - `POST /v1/faults` takes a JSON object with any of `outage` (bool: every call returns 503),
 *   `delay_ms` (added to every call), `lose_answers` (number of following writes that
 *   take effect but whose response is lost) and `stale_reads` (bool: reads and watches return
 *   the version before the latest one).
 */

#include "core/error.h"
#include "core/time_type.h"

#include <condition_variable>
#include <functional>
#include <httplib.h>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace cove {

inline constexpr std::size_t max_object_bytes = 1'000'000; ///< maximum size of a value

/** Injected faults. */
struct store_faults {
    bool outage = false;
    milliseconds delay{0};
    int lose_answers = 0; ///< number of following writes whose response is lost
    bool stale_reads = false;
};

/** Number of calls received, including failed ones. */
struct store_calls {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t watches = 0;
};

/** Versioned objects held in memory. */
class object_store {
public:
    /** Adds the HTTP routes to @p server; the store must outlive it. */
    void add_routes(httplib::Server& server);

    /** Calls @p hook after each HTTP write that takes effect, before its response. */
    void set_write_hook(std::function<void(std::string const& name)> hook);

    /** Ends all waiting watches. Call before the server stops. */
    void close();

    /** Allows watches to wait again after close(). */
    void reopen();

    void set_faults(store_faults const& faults);
    [[nodiscard]] store_calls calls() const;

    /** Stores @p value unconditionally, without the write hook; for initial contents. */
    void put(std::string const& name, std::string value);

    /** @return the latest value of @p name, if any. */
    [[nodiscard]] std::optional<std::string> latest_value(std::string const& name) const;

private:
    struct object {
        std::string value;
        std::uint64_t version = 0;
        std::string previous; ///< returned by stale reads
    };

    bool begin_call(httplib::Response& response, std::uint64_t store_calls::*counter);
    void serve_read(httplib::Request const& request, httplib::Response& response);
    void serve_watch(httplib::Request const& request, httplib::Response& response);
    void serve_write(httplib::Request const& request, httplib::Response& response);
    void serve_faults(httplib::Request const& request, httplib::Response& response);
    void serve_calls(httplib::Response& response) const;
    [[nodiscard]] object const* find_visible(std::string const& name) const;
    [[nodiscard]] std::uint64_t visible_version(object const& item) const;
    void write_object(object const& item, httplib::Response& response) const;

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, object> objects_;
    store_faults faults_;
    store_calls calls_;
    std::function<void(std::string const&)> write_hook_;
    bool closed_ = false;
};

} // namespace cove
