/** @file cove-lookup: HTTP server that tells callers which entry hosts to use. */

#include "log/log_func.h"
#include "lookup/current_lookup.h"
#include "lookup/lookup_settings.h"
#include "net/caller_api.h"
#include "net/peer_codec.h"
#include "net/threaded_http_server.h"
#include "settings/program.h"

#include <thread>
#include <zmq.hpp>

namespace {

constexpr int receive_timeout_ms = 100; ///< the receiving thread checks for a stop this often

/**
 * Receives the snapshots that the entry hosts of the zone publish and keeps the last one. It never
 * expires, so that callers get answers while no entry host publishes.
 */
class snapshot_subscriber {
public:
    snapshot_subscriber(std::vector<std::string> const& addresses, cove::zone_id zone)
        : zone_(std::move(zone)), socket_(context_, zmq::socket_type::sub)
    {
        socket_.set(zmq::sockopt::subscribe, "");
        socket_.set(zmq::sockopt::linger, 0);
        socket_.set(zmq::sockopt::rcvtimeo, receive_timeout_ms);
        for (std::string const& address : addresses) {
            socket_.connect("tcp://" + address);
        }
        thread_ = std::jthread([this](std::stop_token const& stop) { run(stop); });
    }

    [[nodiscard]] cove::current_lookup const& newest() const { return newest_; }

private:
    void run(std::stop_token const& stop)
    {
        while (!stop.stop_requested()) {
            zmq::message_t message;
            if (!socket_.recv(message)) {
                continue;
            }
            auto published = cove::decode_snapshot(message.to_string_view());
            if (published && published->snapshot != last_) {
                newest_.set(
                    std::make_shared<cove::prepared_lookup const>(published->snapshot, zone_));
                last_ = std::move(published->snapshot);
            }
        }
    }

    cove::zone_id zone_;
    zmq::context_t context_;
    zmq::socket_t socket_;
    cove::lookup_snapshot last_; ///< used by the receiving thread only
    cove::current_lookup newest_;
    std::jthread thread_;
};

void answer_lookup(cove::current_lookup const& newest, httplib::Request const& request,
                   httplib::Response& response)
{
    auto const& lookup = newest.get();
    if (lookup == nullptr || lookup->empty()) {
        response.status = cove::caller_api::not_run_status;
        response.set_header("Retry-After", "1");
        response.set_content("no entry host is known yet\n", "text/plain");
        return;
    }
    cove::service_id const service{request.get_param_value("service")};
    std::string const caller =
        request.has_param("caller") ? request.get_param_value("caller") : request.remote_addr;
    response.set_content(lookup->answer(service, caller), "application/json");
}

int run(cove::lookup_settings const& settings)
{
    cove::start_log("cove-lookup", settings.name);
    snapshot_subscriber const receiver(settings.entry_addresses, cove::zone_id{settings.zone});
    cove::threaded_http_server server(settings.caller_address, [&](httplib::Server& routes) {
        routes.Get(cove::caller_api::lookup_path,
                   [&](httplib::Request const& request, httplib::Response& response) {
                       answer_lookup(receiver.newest(), request, response);
                   });
    });
    if (auto const started = server.start(); !started) {
        cove::log_event("start_failed", {{"error", to_string(started.error())}});
        return cove::exit_failed;
    }
    cove::log_event("started", {{"zone", settings.zone}});
    cove::wait_for_stop_signal();
    server.stop();
    cove::log_event("stopped");
    return cove::exit_ok;
}

} // namespace

int main(int argc, char** argv)
{
    return cove::run_program<cove::lookup_settings>(
        argc, argv, "cove-lookup tells callers which entry hosts to use.",
        cove::lookup_settings_table(), run);
}
