#include "store/object_client.h"

#include "net/threaded_http_server.h"
#include "store/store_api.h"

#include <charconv>

namespace cove {

namespace {

std::uint64_t version_from(httplib::Response const& response)
{
    std::string const text = response.get_header_value(store_api::version_header);
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

tl::unexpected<store_error> store_fail(store_failure kind, std::string step,
                                       std::string const& address, std::string const& name,
                                       std::string message)
{
    return tl::make_unexpected(
        store_error{kind, {std::move(step), address + "/" + name, std::move(message)}});
}

bool request_not_sent(httplib::Error error)
{
    return error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout ||
           error == httplib::Error::BindIPAddress;
}

store_failure failure_kind(int status, bool is_write)
{
    switch (status) {
    case store_api::not_found_status:
        return store_failure::not_found;
    case store_api::conflict_status:
        return store_failure::conflict;
    case store_api::too_large_status:
    case store_api::invalid_status:
        return store_failure::rejected;
    default:
        return is_write ? store_failure::not_known : store_failure::unavailable;
    }
}

} // namespace

object_client::object_client(std::string store_address, milliseconds timeout)
    : address_(std::move(store_address)), timeout_(timeout)
{
    auto const endpoint = parse_address(address_);
    client_ = make_http_client(endpoint ? endpoint->ip : "127.0.0.1", endpoint ? endpoint->port : 0,
                               timeout_);
}

object_client::~object_client() = default;

store_result<stored_object> object_client::read(std::string const& name)
{
    std::lock_guard const lock(mutex_);
    client_->set_read_timeout(timeout_);
    auto const response = client_->Get(store_api::object_prefix + name);
    if (!response) {
        return store_fail(store_failure::unavailable, "store.read", address_, name,
                          httplib::to_string(response.error()));
    }
    if (response->status != store_api::ok_status) {
        return store_fail(failure_kind(response->status, false), "store.read", address_, name,
                          "HTTP status " + std::to_string(response->status));
    }
    return stored_object{response->body, version_from(*response)};
}

store_result<std::optional<stored_object>>
object_client::watch(std::string const& name, std::uint64_t after, milliseconds wait)
{
    std::lock_guard const lock(mutex_);
    client_->set_read_timeout(timeout_ + wait);
    auto const response = client_->Get(store_api::object_prefix + name + "?" +
                                       store_api::after_param + "=" + std::to_string(after) + "&" +
                                       store_api::wait_param + "=" + std::to_string(wait.count()));
    if (!response) {
        return store_fail(store_failure::unavailable, "store.watch", address_, name,
                          httplib::to_string(response.error()));
    }
    if (response->status == store_api::not_changed_status) {
        return std::optional<stored_object>{};
    }
    if (response->status != store_api::ok_status) {
        return store_fail(failure_kind(response->status, false), "store.watch", address_, name,
                          "HTTP status " + std::to_string(response->status));
    }
    return std::optional(stored_object{response->body, version_from(*response)});
}

store_result<std::uint64_t> object_client::write(std::string const& name, std::string const& value,
                                                 std::uint64_t expected)
{
    std::lock_guard const lock(mutex_);
    client_->set_read_timeout(timeout_);
    httplib::Headers const headers{{store_api::condition_header, std::to_string(expected)}};
    auto const response =
        client_->Put(store_api::object_prefix + name, headers, value, "application/octet-stream");
    if (!response) {
        auto const kind = request_not_sent(response.error()) ? store_failure::unavailable
                                                             : store_failure::not_known;
        return store_fail(kind, "store.write", address_, name,
                          httplib::to_string(response.error()));
    }
    if (response->status != store_api::ok_status) {
        return store_fail(failure_kind(response->status, true), "store.write", address_, name,
                          "HTTP status " + std::to_string(response->status));
    }
    return version_from(*response);
}

void object_client::interrupt()
{
    client_->stop();
}

} // namespace cove
