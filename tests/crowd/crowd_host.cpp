#include "crowd/crowd_host.h"

#include "platform/wire_names.h"
#include "platform/writer_json.h"

#include <fstream>
#include <httplib.h>
#include <thread>
#include <unistd.h>

namespace cove {

namespace {

constexpr char const* ip = "127.0.0.1";
constexpr char const* target_name = "i-1";
constexpr int port_count = 8;
constexpr int store_offset = 6; ///< of the port
constexpr int target_offset = 7;
constexpr std::size_t target_threads = 32;
constexpr int target_slots = 8;
constexpr milliseconds ready_timeout{20'000};
constexpr milliseconds poll_interval{20};
constexpr milliseconds slow_work{500}; ///< of a POST; others queue meanwhile
constexpr milliseconds slow_order_work{6000};
constexpr milliseconds route_timeout{10'000};
constexpr milliseconds end_timeout{20'000}; ///< of a stop; a multiple of the grace time

std::string at(int port)
{
    return std::string(ip) + ":" + std::to_string(port);
}

std::filesystem::path make_folder()
{
    auto path = std::filesystem::temp_directory_path() /
                ("cove_crowd_" + std::to_string(::getpid()) + "_" +
                 std::to_string(read_clocks().mono.time_since_epoch().count()));
    std::filesystem::create_directories(path);
    return path;
}

} // namespace

crowd_host::crowd_host(crowd_limits limits)
    : limits_(limits), first_port_(free_port_block(port_count)), folder_(make_folder()),
      target_(target_threads),
      process_({COVE_HOST, "--settings", folder_ / "host.json"}, folder_ / "host.log")
{
}

crowd_host::~crowd_host()
{
    process_.signal(SIGKILL);
    process_.wait(ready_timeout);
    target_.stop();
    std::error_code ignored; // a folder left behind does no harm
    std::filesystem::remove_all(folder_, ignored);
}

bool crowd_host::start()
{
    if (first_port_ == 0 || !store_.start(ip, first_port_ + store_offset)) {
        return false;
    }
    write_config();
    start_target();
    std::ofstream(folder_ / "host.json") << write_settings();
    process_.start();
    httplib::Client client(ip, port(listener::readiness));
    for (mono_time const end = read_clocks().mono + ready_timeout; read_clocks().mono < end;) {
        auto const answer = client.Get(wire::ready_path);
        if (answer && answer->status == 200) {
            return true;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return false;
}

void crowd_host::start_target()
{
    auto const answer = [](httplib::Request const& request, httplib::Response& response) {
        std::string const attempt = request.get_header_value(wire::attempt_id_header);
        response.set_header(wire::attempt_id_header, attempt);
        response.set_header(wire::signature_header, std::string(target_name) + "." + attempt);
        response.set_header(wire::load_header, "0,0," + std::to_string(target_slots));
        response.set_content(request.path == "/a/large" ? std::string(large_response_bytes, 'r')
                                                        : "done",
                             "text/plain");
    };
    target_.server.set_payload_max_length(std::size_t{1} << 30U);
    target_.server.Get(".*", answer);
    target_.server.Post(".*", [answer](httplib::Request const& request,
                                       httplib::Response& response) {
        std::this_thread::sleep_for(request.path == slow_order_path ? slow_order_work : slow_work);
        answer(request, response);
    });
    target_.start(ip, first_port_ + target_offset);
    target_entry entry;
    entry.id = target_id(target_name);
    entry.service = service_id("blue");
    entry.address = at(first_port_ + target_offset);
    entry.zone = zone_id("zone-1");
    entry.slots = target_slots;
    entry.phase = target_phase::serving;
    entry.incarnation = target_incarnation(1);
    store_.put(wire::target_kind, target_name, target_spec(entry));
}

void crowd_host::write_config()
{
    routing_config config;
    config.version = generation(1);
    route_config route;
    route.name = route_id("a");
    route.host = host_name;
    route.prefix = "/a/";
    route.idempotent = true;
    route.timeout = route_timeout;
    route.objective = route_timeout;
    route.max_attempts = 2;
    route.services = {{service_id("blue"), 1}};
    config.routes.push_back(route);
    route.name = route_id("once");
    route.prefix = "/once/";
    route.idempotent = false;
    config.routes.push_back(route);
    constexpr int max_connections = 300;
    constexpr double cold_rate = 1000;
    config.services[service_id("blue")] = {service_id("blue"), "/healthz", max_connections,
                                           milliseconds{100}, cold_rate};
    config.limits = {16'384, limits_.body_bytes, milliseconds{3000}, milliseconds{15'000}};
    store_.put(wire::config_kind, wire::config_name, config_spec(config));
}

std::string crowd_host::write_settings() const
{
    nlohmann::json const settings{{"name", "host-1"},
                                  {"zone", "zone-1"},
                                  {"region", "region-1"},
                                  {"regions", {{"zone-1", "region-1"}}},
                                  {"client_address", at(port(listener::clients))},
                                  {"readiness_address", at(port(listener::readiness))},
                                  {"directory_address", at(port(listener::directory))},
                                  {"metrics_address", at(port(listener::metrics))},
                                  {"ip", ip},
                                  {"peer_port", port(listener::peers)},
                                  {"relay_port", port(listener::relays)},
                                  {"seeds", {at(port(listener::peers))}},
                                  {"store_address", at(first_port_ + store_offset)},
                                  {"heartbeat", "1500ms"},
                                  {"drain", "2s"},
                                  {"grace", "5s"},
                                  {"answer_lifetime_max", "5s"},
                                  {"repeat_ratio", 0.2},
                                  {"repeat_window", "10s"},
                                  {"repeat_slack", 56},
                                  {"shift_cap", 1.0},
                                  {"memory_mb", limits_.memory_mb},
                                  {"max_descriptors", limits_.max_descriptors},
                                  {"first_start", true}};
    return settings.dump();
}

process_usage crowd_host::usage() const
{
    process_usage out;
    std::filesystem::path const proc = "/proc/" + std::to_string(process_.id());
    std::ifstream status(proc / "status");
    for (std::string name; status >> name;) {
        if (name == "VmHWM:") {
            status >> out.peak_kb;
        }
        else if (name == "VmRSS:") {
            status >> out.resident_kb;
        }
    }
    std::error_code error;
    std::filesystem::directory_iterator const open(proc / "fd", error);
    out.descriptors = error ? 0 : static_cast<std::size_t>(std::distance(begin(open), end(open)));
    return out;
}

int crowd_host::get(listener where, std::string const& path) const
{
    httplib::Client client(ip, port(where));
    auto const answer = client.Get(path);
    return answer ? answer->status : 0;
}

std::optional<int> crowd_host::stop()
{
    process_.signal(SIGTERM);
    return process_.wait(end_timeout);
}

int crowd_host::post(std::string const& body, bool chunked) const
{
    httplib::Client client(ip, first_port_);
    client.set_read_timeout(route_timeout + milliseconds{5000});
    httplib::Headers const headers{{"Host", host_name},
                                   {wire::attempt_id_header, "ordinary"},
                                   {wire::deadline_header, std::to_string(route_timeout.count())}};
    auto const answer = chunked ? client.Post(
                                      "/a/x", headers,
                                      [&body](std::size_t offset, httplib::DataSink& sink) {
                                          constexpr std::size_t chunk_bytes = 100'000;
                                          std::size_t const size =
                                              std::min(chunk_bytes, body.size() - offset);
                                          sink.write(body.data() + offset, size);
                                          if (offset + size == body.size()) {
                                              sink.done();
                                          }
                                          return true;
                                      },
                                      "text/plain")
                                : client.Post("/a/x", headers, body, "text/plain");
    return answer ? answer->status : 0;
}

} // namespace cove
