#include "entry/target_pool.h"

#include "core/address.h"
#include "http/field_value.h"
#include "http/status_type.h"
#include "net/caller_api.h"
#include "net/threaded_http_server.h"

#include <algorithm>
#include <condition_variable>
#include <optional>
#include <thread>

namespace cove {

namespace {

/** @return whether status and field names are valid, which the client library does not check. */
bool is_valid(httplib::Response const& response)
{
    auto const status = static_cast<unsigned>(response.status);
    return status >= first_final_status && status <= last_status &&
           std::all_of(response.headers.begin(), response.headers.end(),
                       [](auto const& field) { return is_field_name(field.first); });
}

bool failed_before_sending(httplib::Error error)
{
    return error == httplib::Error::Connection || error == httplib::Error::BindIPAddress ||
           error == httplib::Error::ConnectionTimeout;
}

call_result to_call_result(call_key key, httplib::Result const& response)
{
    call_result out;
    out.key = key;
    if (!response) {
        out.verdict = failed_before_sending(response.error()) ? call_verdict::not_started
                                                              : call_verdict::broken;
        out.error = httplib::to_string(response.error());
        return out;
    }
    if (!is_valid(*response)) {
        out.verdict = call_verdict::broken;
        out.error = "invalid status or name of a header field";
        return out;
    }
    out.status = response->status;
    out.verdict = response->has_header(caller_api::not_started_header) ? call_verdict::not_started
                                                                       : call_verdict::answered;
    if (out.verdict == call_verdict::not_started) {
        out.error = "the target reported that it did not start the request";
    }
    out.body = make_payload(response->body);
    return out;
}

} // namespace

/** One connection and the thread that sends requests on it. */
class target_pool::pooled_connection {
public:
    pooled_connection(target_pool& pool, std::string address)
        : pool_(pool), address_(std::move(address)),
          thread_([this](std::stop_token const& stop) { run(stop); })
    {
    }

    void start(call_target call)
    {
        std::lock_guard const lock(mutex_);
        call_ = std::move(call);
        ready_.notify_all();
    }

    void close_connection()
    {
        std::lock_guard const lock(mutex_);
        if (client_ != nullptr) {
            client_->stop();
        }
    }

    void request_stop()
    {
        thread_.request_stop();
        close_connection();
    }

private:
    void run(std::stop_token const& stop)
    {
        auto const endpoint = parse_address(address_);
        while (true) {
            std::optional<call_target> call;
            {
                std::unique_lock lock(mutex_);
                if (!ready_.wait(lock, stop, [this] { return call_.has_value(); })) {
                    return;
                }
                call.swap(call_);
                if (endpoint && client_ == nullptr) {
                    client_ = make_http_client(endpoint->ip, endpoint->port, call->timeout);
                }
            }
            call_result const finished =
                endpoint ? send_request(*call) : invalid_address_result(*call);
            {
                std::lock_guard const lock(pool_.mutex_);
                pool_.busy_.erase(call->key);
                pool_.idle_[address_].push_back(this);
            }
            pool_.done_(finished);
        }
    }

    call_result send_request(call_target const& call)
    {
        client_->set_read_timeout(call.timeout);
        client_->set_write_timeout(call.timeout);
        client_->set_connection_timeout(call.timeout);
        auto const remaining_ms = std::chrono::ceil<milliseconds>(call.timeout).count();
        httplib::Headers const headers{{caller_api::service_header, call.service.value},
                                       {caller_api::class_header, call.request_class.value},
                                       {caller_api::operation_header, to_string(call.operation)},
                                       {caller_api::timeout_header, std::to_string(remaining_ms)}};
        return to_call_result(call.key,
                              client_->Post(caller_api::request_path, headers, bytes_of(call.body),
                                            "application/octet-stream"));
    }

    static call_result invalid_address_result(call_target const& call)
    {
        call_result out;
        out.key = call.key;
        out.verdict = call_verdict::not_started;
        out.error = "invalid target address " + call.address;
        return out;
    }

    target_pool& pool_;
    std::string address_;
    std::mutex mutex_;
    std::condition_variable_any ready_;
    std::optional<call_target> call_;
    std::unique_ptr<httplib::Client> client_;
    std::jthread thread_;
};

target_pool::target_pool(std::function<void(call_result)> done) : done_(std::move(done)) {}

target_pool::~target_pool()
{
    for (auto const& connection : connections_) {
        connection->request_stop();
    }
}

void target_pool::start(call_target call)
{
    pooled_connection* connection = nullptr;
    {
        std::lock_guard const lock(mutex_);
        connection = &acquire_connection(call.address);
        busy_[call.key] = connection;
    }
    connection->start(std::move(call));
}

void target_pool::cancel(call_key key)
{
    std::lock_guard const lock(mutex_);
    auto const found = busy_.find(key);
    if (found != busy_.end()) {
        found->second->close_connection();
    }
}

target_pool::pooled_connection& target_pool::acquire_connection(std::string const& address)
{
    auto& idle = idle_[address];
    if (idle.empty()) {
        return *connections_.emplace_back(std::make_unique<pooled_connection>(*this, address));
    }
    pooled_connection* const connection = idle.back();
    idle.pop_back();
    return *connection;
}

} // namespace cove
