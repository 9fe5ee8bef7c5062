#pragma once
/** @file Client of the platform's object store. */

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

/** Why a call failed, as far as its effect goes. */
enum class store_failure {
    unavailable, ///< provably without effect; the store cannot be reached or gave no answer
    not_found,   ///< no such object
    conflict,    ///< the condition of the write did not hold
    rejected,    ///< the store does not take such a call
    not_known,   ///< the write may have taken effect
};

/** A failed call. */
struct store_error {
    store_failure kind = store_failure::unavailable;
    step_error where;
};

template <class T>
using store_result = tl::expected<T, store_error>;

/** A value and its version. */
struct stored_object {
    std::string value;
    std::uint64_t version = 0;
};

/** One connection to the store; safe to use from several threads, one call at a time. */
class object_client {
public:
    /** @param store_address IP:port. @param timeout of each call, a watch's wait not included. */
    object_client(std::string store_address, milliseconds timeout);
    ~object_client();
    object_client(object_client const&) = delete;
    object_client& operator=(object_client const&) = delete;
    object_client(object_client&&) = delete;
    object_client& operator=(object_client&&) = delete;

    /** @return the object @p name. */
    store_result<stored_object> read(std::string const& name);

    /**
     * Waits for a version above @p after.
     * @param wait longest time to wait at the store.
     * @return the object, or nothing when it did not change in time.
     */
    store_result<std::optional<stored_object>> watch(std::string const& name, std::uint64_t after,
                                                     milliseconds wait);

    /**
     * Writes on a condition.
     * @param expected version that must be the newest one; 0 when the object must not exist.
     * @return the new version.
     */
    store_result<std::uint64_t> write(std::string const& name, std::string const& value,
                                      std::uint64_t expected);

    /** Makes a waiting call return early. Safe to call from any thread. */
    void interrupt();

private:
    std::string address_;
    milliseconds timeout_;
    std::mutex mutex_;
    std::unique_ptr<httplib::Client> client_;
};

} // namespace cove
