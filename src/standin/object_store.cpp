#include "standin/object_store.h"

#include "store/store_api.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <thread>

namespace cove {

namespace {

std::uint64_t to_number(std::string const& text)
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

/** Closes the connection before the response is complete, so that its client sees an error. */
void drop_response(httplib::Response& response)
{
    response.set_content_provider(
        1, "text/plain", [](std::size_t, std::size_t, httplib::DataSink&) { return false; });
}

} // namespace

void object_store::add_routes(httplib::Server& server)
{
    server.Get(store_api::object_route, [this](auto const& request, auto& response) {
        if (request.has_param(store_api::after_param)) {
            serve_watch(request, response);
        }
        else {
            serve_read(request, response);
        }
    });
    server.Put(store_api::object_route,
               [this](auto const& request, auto& response) { serve_write(request, response); });
    server.Post(store_api::faults_path,
                [this](auto const& request, auto& response) { serve_faults(request, response); });
    server.Get(store_api::calls_path,
               [this](auto const&, auto& response) { serve_calls(response); });
}

void object_store::set_write_hook(std::function<void(std::string const& name)> hook)
{
    std::lock_guard const lock(mutex_);
    write_hook_ = std::move(hook);
}

void object_store::close()
{
    std::lock_guard const lock(mutex_);
    closed_ = true;
    changed_.notify_all();
}

void object_store::reopen()
{
    std::lock_guard const lock(mutex_);
    closed_ = false;
}

void object_store::set_faults(store_faults const& faults)
{
    std::lock_guard const lock(mutex_);
    faults_ = faults;
    changed_.notify_all();
}

store_calls object_store::calls() const
{
    std::lock_guard const lock(mutex_);
    return calls_;
}

void object_store::put(std::string const& name, std::string value)
{
    std::lock_guard const lock(mutex_);
    object& item = objects_[name];
    item.previous = std::move(item.value);
    item.value = std::move(value);
    ++item.version;
    changed_.notify_all();
}

std::optional<std::string> object_store::latest_value(std::string const& name) const
{
    std::lock_guard const lock(mutex_);
    auto const found = objects_.find(name);
    return found == objects_.end() ? std::nullopt : std::optional(found->second.value);
}

bool object_store::begin_call(httplib::Response& response, std::uint64_t store_calls::*counter)
{
    milliseconds delay{};
    {
        std::lock_guard const lock(mutex_);
        ++(calls_.*counter);
        delay = faults_.delay;
    }
    std::this_thread::sleep_for(delay);
    std::lock_guard const lock(mutex_);
    if (faults_.outage) {
        response.status = store_api::unavailable_status;
        return false;
    }
    return true;
}

std::uint64_t object_store::visible_version(object const& item) const
{
    return faults_.stale_reads ? item.version - 1 : item.version;
}

object_store::object const* object_store::find_visible(std::string const& name) const
{
    auto const found = objects_.find(name);
    if (found == objects_.end() || visible_version(found->second) == 0) {
        return nullptr;
    }
    return &found->second;
}

void object_store::write_object(object const& item, httplib::Response& response) const
{
    response.set_header(store_api::version_header, std::to_string(visible_version(item)));
    response.set_content(faults_.stale_reads ? item.previous : item.value,
                         "application/octet-stream");
}

void object_store::serve_read(httplib::Request const& request, httplib::Response& response)
{
    if (!begin_call(response, &store_calls::reads)) {
        return;
    }
    std::lock_guard const lock(mutex_);
    object const* item = find_visible(request.matches[1]);
    if (item == nullptr) {
        response.status = store_api::not_found_status;
        return;
    }
    write_object(*item, response);
}

void object_store::serve_watch(httplib::Request const& request, httplib::Response& response)
{
    if (!begin_call(response, &store_calls::watches)) {
        return;
    }
    std::string const name = request.matches[1];
    std::uint64_t const after = to_number(request.get_param_value(store_api::after_param));
    milliseconds const wait(to_number(request.get_param_value(store_api::wait_param)));
    std::unique_lock lock(mutex_);
    object const* item = nullptr;
    changed_.wait_for(lock, wait, [&] {
        item = find_visible(name);
        return closed_ || faults_.outage || (item != nullptr && visible_version(*item) > after);
    });
    if (faults_.outage) {
        response.status = store_api::unavailable_status;
    }
    else if (item == nullptr || visible_version(*item) <= after) {
        response.status = store_api::not_changed_status;
    }
    else {
        write_object(*item, response);
    }
}

void object_store::serve_write(httplib::Request const& request, httplib::Response& response)
{
    if (!begin_call(response, &store_calls::writes)) {
        return;
    }
    if (request.body.size() > max_object_bytes) {
        response.status = store_api::too_large_status;
        return;
    }
    std::unique_lock lock(mutex_);
    std::string const name = request.matches[1];
    auto const found = objects_.find(name);
    std::uint64_t const version = found == objects_.end() ? 0 : found->second.version;
    if (request.has_header(store_api::condition_header) &&
        to_number(request.get_header_value(store_api::condition_header)) != version) {
        response.status = store_api::conflict_status;
        return;
    }
    object& item = objects_[name];
    item.previous = std::move(item.value);
    item.value = request.body;
    ++item.version;
    changed_.notify_all();
    response.set_header(store_api::version_header, std::to_string(item.version));
    if (auto const hook = write_hook_) {
        lock.unlock();
        hook(name);
        lock.lock();
    }
    if (faults_.lose_answers > 0) {
        --faults_.lose_answers;
        drop_response(response);
    }
}

void object_store::serve_faults(httplib::Request const& request, httplib::Response& response)
{
    try {
        auto const in = nlohmann::json::parse(request.body);
        std::lock_guard const lock(mutex_);
        faults_.outage = in.value("outage", faults_.outage);
        faults_.delay = milliseconds(in.value("delay_ms", faults_.delay.count()));
        faults_.lose_answers = in.value("lose_answers", faults_.lose_answers);
        faults_.stale_reads = in.value("stale_reads", faults_.stale_reads);
        changed_.notify_all();
    }
    catch (nlohmann::json::exception const& error) {
        response.status = store_api::invalid_status;
        response.set_content(error.what(), "text/plain");
    }
}

void object_store::serve_calls(httplib::Response& response) const
{
    store_calls const counted = calls();
    response.set_content(nlohmann::json{{"reads", counted.reads},
                                        {"writes", counted.writes},
                                        {"watches", counted.watches}}
                             .dump(),
                         "application/json");
}

} // namespace cove
