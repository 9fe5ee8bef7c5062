#include "entry/target_poller.h"

#include "core/address.h"
#include "net/target_api.h"
#include "json/json_text.h"

namespace cove {

namespace {

constexpr milliseconds poll_interval{500}; ///< between two rounds of polls
constexpr milliseconds poll_timeout{300};  ///< of one HTTP request
constexpr seconds recent_call_window{10};  ///< how long a target is polled after its last call
constexpr int ok_status = 200;

} // namespace

target_poller::target_poller(std::function<void(target_report)> report)
    : report_(std::move(report)), thread_([this](std::stop_token const& stop) { run(stop); })
{
}

void target_poller::record_call(target_id const& target, std::string const& address, mono_time now)
{
    std::lock_guard const lock(mutex_);
    targets_[target] = {address, now};
}

std::map<target_id, target_poller::polled_target> target_poller::recently_called()
{
    std::lock_guard const lock(mutex_);
    mono_time const oldest = read_clocks().mono - recent_call_window;
    std::erase_if(targets_, [&](auto const& item) { return item.second.last_call < oldest; });
    return targets_;
}

void target_poller::run(std::stop_token const& stop)
{
    std::mutex mutex;
    while (!stop.stop_requested()) {
        for (auto const& [target, item] : recently_called()) {
            if (stop.stop_requested()) {
                return;
            }
            poll_target(target, item.address);
        }
        std::unique_lock lock(mutex);
        stopping_.wait_for(lock, stop, poll_interval, [] { return false; });
    }
}

/**
 * Reports the load and health that the target returns. Nothing is reported for a target that does
 * not respond; the node then judges it only by the results of its calls.
 */
void target_poller::poll_target(target_id const& target, std::string const& address)
{
    auto& client = clients_[address];
    auto const endpoint = parse_address(address);
    if (client == nullptr && endpoint) {
        client = make_http_client(endpoint->ip, endpoint->port, poll_timeout);
    }
    if (client == nullptr) {
        return;
    }
    auto const load_response = client->Get(target_api::load_path);
    if (!load_response || load_response->status != ok_status) {
        return;
    }
    auto const health_response = client->Get(target_api::health_path);
    auto const parsed = parse_json(load_response->body, address);
    if (!health_response || !parsed || !parsed->is_object()) {
        return;
    }
    nlohmann::json const& reported = *parsed;
    try {
        report_({target, health_response->status == ok_status, reported.value("leaving", false),
                 reported.value("in_flight", 0), reported.value("slots", 0)});
    }
    catch (nlohmann::json::exception const&) {
        return; // a field has the wrong type: ignore the whole report
    }
}

} // namespace cove
