#include "process_soak/client_pool.h"

#include "core/random.h"
#include "platform/wire_names.h"

#include <httplib.h>

namespace cove {

namespace {

constexpr milliseconds pause{20}; ///< between the requests of a client
constexpr milliseconds deadline{2500};
constexpr milliseconds patience{3500}; ///< for an answer
constexpr milliseconds connect_timeout{1000};
constexpr std::uint64_t object_count = 200;

} // namespace

client_pool::client_pool(run_recorder& recorder, std::string host_header)
    : recorder_(recorder), host_header_(std::move(host_header))
{
}

client_pool::~client_pool()
{
    stop();
}

void client_pool::add_route(std::string const& prefix, bool once)
{
    std::lock_guard const lock(mutex_);
    routes_.push_back({prefix, once});
}

void client_pool::start(std::string const& host, std::string const& ip, int port, int count)
{
    for (int i = 0; i < count; ++i) {
        threads_.emplace_back(
            [this, host, ip, port, number = threads_.size()] { run(host, ip, port, number); });
    }
}

void client_pool::stop()
{
    stopping_ = true;
    for (std::thread& each : threads_) {
        each.join();
    }
    threads_.clear();
}

client_pool::route client_pool::pick_route(std::uint64_t number)
{
    std::lock_guard const lock(mutex_);
    return routes_[number % routes_.size()];
}

void client_pool::run(std::string const& host, std::string const& ip, int port,
                      std::uint64_t number)
{
    random_engine random(number);
    httplib::Client client(ip, port);
    client.set_keep_alive(true);
    client.set_tcp_nodelay(true);
    client.set_connection_timeout(connect_timeout);
    client.set_read_timeout(patience);
    for (std::uint64_t i = 0; !stopping_; ++i) {
        route const route = pick_route(random());
        client_request request;
        request.attempt = "a" + std::to_string(number) + "-" + std::to_string(i);
        request.host = host;
        request.route = route.prefix;
        request.once = route.once;
        std::string const object = std::to_string(random_below(random, object_count));
        httplib::Headers const headers{{"Host", host_header_},
                                       {wire::attempt_id_header, request.attempt},
                                       {wire::object_header, object},
                                       {wire::deadline_header, std::to_string(deadline.count())}};
        request.sent = read_clocks().mono;
        auto const answer = route.once
                                ? client.Post(route.prefix + object, headers, "order", "text/plain")
                                : client.Get(route.prefix + object, headers);
        request.ended = read_clocks().mono;
        if (answer) {
            request.status = answer->status;
            request.signed_by_target = answer->has_header(wire::signature_header);
        }
        request.timed_out = !answer && request.ended - request.sent >= patience;
        recorder_.add(std::move(request));
        std::this_thread::sleep_for(pause);
    }
}

} // namespace cove
