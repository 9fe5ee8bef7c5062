#include "process_soak/host_fleet.h"

#include "platform/wire_names.h"

#include <csignal>
#include <fstream>
#include <httplib.h>

namespace cove {

namespace {

using json = nlohmann::json;

constexpr milliseconds check_timeout{5000};
constexpr milliseconds readiness_timeout{1000};
constexpr int ok_status = 200;
constexpr char const* stopped = "stopped"; ///< cause of a disturbance
constexpr char const* frozen = "frozen";   ///< cause of a disturbance

std::string text(milliseconds time)
{
    return std::to_string(time.count()) + "ms";
}

} // namespace

host_fleet::host_fleet(std::string program, std::string folder,
                       std::map<std::string, std::string> regions, fleet_ports ports,
                       rule_bounds bounds, run_recorder& recorder)
    : program_(std::move(program)), folder_(std::move(folder)), regions_(std::move(regions)),
      ports_(ports), bounds_(bounds), recorder_(recorder)
{
}

void host_fleet::add(fleet_host const& host)
{
    entry added;
    added.place = host;
    added.process = std::make_unique<child_process>(
        std::vector<std::string>{program_, "--settings", folder_ + "/" + host.name + ".json"},
        folder_ + "/" + host.name + ".log");
    hosts_.push_back(std::move(added));
}

json host_fleet::settings_of(fleet_host const& host, bool first) const
{
    auto const at = [&host](int port) { return host.ip + ":" + std::to_string(port); };
    json seeds = json::array();
    std::set<std::string> seen;
    for (entry const& each : hosts_) {
        if (seen.insert(each.place.zone).second) {
            seeds.push_back(each.place.ip + ":" + std::to_string(ports_.peer));
        }
    }
    json out{{"name", host.name},
             {"zone", host.zone},
             {"region", regions_.at(host.zone)},
             {"regions", regions_},
             {"client_address", at(ports_.client)},
             {"readiness_address", at(ports_.readiness)},
             {"directory_address", at(ports_.directory)},
             {"metrics_address", at(ports_.metrics)},
             {"ip", host.ip},
             {"peer_port", ports_.peer},
             {"relay_port", ports_.relay},
             {"seeds", seeds},
             {"store_address", host.store_address},
             {"store_silence_max", text(bounds_.contact)},
             {"heartbeat", "1500ms"},
             {"drain", text(bounds_.drain)},
             {"grace", text(bounds_.grace)},
             {"answer_lifetime_max", "5s"},
             {"repeat_ratio", 0.2},
             {"repeat_window", "10s"},
             {"repeat_slack", 56},
             {"shift_cap", 0.15},
             {"first_start", first}};
    for (std::string const& name : unknown_settings_) {
        out.erase(name);
    }
    return out;
}

std::string host_fleet::write_settings(fleet_host const& host, bool first) const
{
    std::string path = folder_ + "/" + host.name + ".json";
    std::ofstream(path) << settings_of(host, first).dump(1) << "\n";
    return path;
}

bool host_fleet::find_settings()
{
    std::vector<std::vector<std::string>> const candidates{
        {}, {"store_silence_max"}, {"store_silence_max", "relay_port"}};
    for (auto const& unknown : candidates) {
        unknown_settings_ = unknown;
        std::string const path = write_settings(hosts_.front().place, true);
        child_process check({program_, "--settings", path, "--check"}, folder_ + "/check.log");
        if (check.start() && check.wait(check_timeout) == 0) {
            return true;
        }
    }
    return false;
}

void host_fleet::start(std::size_t number, bool first)
{
    entry& host = hosts_[number];
    if (host.state != process_state::down) {
        return;
    }
    write_settings(host.place, first);
    host.process->start();
    host.state = process_state::up;
    recorder_.end(host.place.name, stopped);
    recorder_.moment(host.place.name, "started");
}

void host_fleet::freeze(std::size_t number)
{
    entry& host = hosts_[number];
    if (host.state == process_state::up) {
        recorder_.begin(host.place.name, frozen);
        host.process->signal(SIGSTOP);
        host.state = process_state::frozen;
    }
}

void host_fleet::resume(std::size_t number)
{
    entry& host = hosts_[number];
    if (host.state == process_state::frozen) {
        host.process->signal(SIGCONT);
        host.state = process_state::up;
        recorder_.end(host.place.name, frozen);
    }
}

void host_fleet::kill(std::size_t number)
{
    entry& host = hosts_[number];
    if (host.state == process_state::up) {
        recorder_.begin(host.place.name, stopped);
        host.process->signal(SIGKILL);
        host.state = process_state::stopping;
        host.kill_at = read_clocks().mono;
    }
}

void host_fleet::terminate(std::size_t number)
{
    entry& host = hosts_[number];
    if (host.state == process_state::up) {
        recorder_.begin(host.place.name, stopped, true);
        host.process->signal(SIGTERM);
        host.state = process_state::stopping;
        host.kill_at = read_clocks().mono + bounds_.grace;
    }
}

void host_fleet::watch()
{
    for (entry& host : hosts_) {
        if (host.state == process_state::down || host.process->running()) {
            if (host.state == process_state::stopping && read_clocks().mono >= host.kill_at) {
                host.process->signal(SIGKILL);
            }
            continue;
        }
        if (host.state != process_state::stopping) {
            ++ended_unasked_;
            recorder_.log("FAULT: " + host.place.name + " ended without a signal");
            recorder_.begin(host.place.name, stopped);
        }
        host.state = process_state::down;
    }
}

bool host_fleet::is_stopping(std::size_t number)
{
    return hosts_[number].state == process_state::stopping;
}

bool host_fleet::is_ready(std::size_t number) const
{
    httplib::Client client(hosts_[number].place.ip, ports_.readiness);
    client.set_connection_timeout(readiness_timeout);
    client.set_read_timeout(readiness_timeout);
    auto const answer = client.Get(wire::ready_path);
    return answer && answer->status == ok_status;
}

} // namespace cove
