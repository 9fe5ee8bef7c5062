#pragma once
/** @file HTTP client of the platform's object store. */

#include "core/address.h"
#include "core/error.h"
#include "core/time_type.h"

#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace httplib {
class Client;
}

namespace cove {

/** Why a call failed, and whether a failed write may have taken effect. */
enum class store_failure {
    unavailable, ///< the store is unreachable, or a read failed; no write took effect
    not_found,   ///< the object does not exist
    conflict,    ///< the object's version is not the one that the write expected
    rejected,    ///< the store refused the request: invalid, or the value is too large
    not_known,   ///< the write may or may not have taken effect
};

/** Error of a failed call. */
struct store_error {
    store_failure kind = store_failure::unavailable;
    step_error details;
};

template <class T>
using store_result = tl::expected<T, store_error>;

/** The value of an object and its version. */
struct stored_object {
    std::string value;
    std::uint64_t version = 0;
};

/** One connection to the store. Thread-safe; calls are serialized. */
class object_client {
public:
    /** @param store_address IP:port. @param timeout of a call, excluding the wait of a watch. */
    object_client(std::string store_address, milliseconds timeout);
    ~object_client();
    object_client(object_client const&) = delete;
    object_client& operator=(object_client const&) = delete;
    object_client(object_client&&) = delete;
    object_client& operator=(object_client&&) = delete;

    /** Reads the newest version of object @p name. */
    store_result<stored_object> read(std::string const& name);

    /**
     * Long poll: waits for a version of object @p name above @p after.
     * @param wait how long the store holds the request if there is no newer version.
     * @return the object, or nothing if it did not change within @p wait.
     */
    store_result<std::optional<stored_object>> watch(std::string const& name, std::uint64_t after,
                                                     milliseconds wait);

    /**
     * Conditional write (compare-and-swap).
     * @param expected version that the object must have; 0 if it must not exist yet.
     * @return the new version.
     */
    store_result<std::uint64_t> write(std::string const& name, std::string const& value,
                                      std::uint64_t expected);

    /** Aborts the call in progress, if any. Safe to call from any thread. */
    void interrupt();

private:
    std::string address_;
    milliseconds timeout_;
    std::mutex mutex_;
    std::unique_ptr<httplib::Client> client_;
};

} // namespace cove
