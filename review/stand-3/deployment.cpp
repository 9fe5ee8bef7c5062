#include "deployment.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <sys/wait.h>

namespace stand {

namespace {

constexpr int first_host = 10;   ///< number of its loopback address
constexpr int first_server = 50; ///< the same
constexpr milliseconds end_time{5000};
constexpr milliseconds check_interval{10}; ///< of the processes

} // namespace

deployment::deployment(std::string const& record_path, plan what)
    : log_(record_path), plan_(std::move(what)),
      folder_(std::filesystem::temp_directory_path() / "cove-review-XXXXXX")
{
    if (::mkdtemp(folder_.data()) == nullptr) {
        folder_.clear();
    }
}

deployment::~deployment()
{
    finish();
    hosts_.clear();
    if (!folder_.empty()) {
        std::filesystem::remove_all(folder_);
    }
}

bool deployment::start_store()
{
    std::string const ip = loopback_ip(1);
    int const port = free_port(ip);
    store_address_ = ip + ":" + std::to_string(port);
    constexpr int version = 7;
    platform_.put("config", "main", config_spec(version, plan_.routes, plan_.services));
    return !folder_.empty() && platform_.start(ip, port);
}

bool deployment::add_server(std::string const& id, std::string const& service,
                            std::string const& zone, int slots, server::work_time work)
{
    servers_.push_back(std::make_unique<server>(id, service, zone, slots, log_, std::move(work)));
    std::string const ip = loopback_ip(first_server + static_cast<int>(servers_.size()));
    return servers_.back()->start(ip, free_port(ip), platform_);
}

bool deployment::start_hosts()
{
    constexpr milliseconds start_time{20'000};
    std::vector<std::string> ips;
    for (std::size_t i = 0; i < plan_.zones.size(); ++i) {
        ips.push_back(loopback_ip(first_host + static_cast<int>(i)));
    }
    int const peer_port = free_port(ips.front());
    int const relay_port = free_port(ips.front());
    for (std::size_t i = 0; i < ips.size(); ++i) {
        std::string const& zone = plan_.zones[i];
        host::place const where{"edge-" + std::to_string(i), ips[i], zone,
                                plan_.regions.at(zone).get<std::string>()};
        hosts_.push_back(std::make_unique<host>(where, plan_.regions, store_address_, peer_port,
                                                relay_port, folder_));
        hosts_.back()->set_seeds({ips.front(), ips.back()});
        hosts_.back()->start(true);
    }
    ends_.resize(hosts_.size());
    peaks_.resize(hosts_.size());
    if (!wait_ready(start_time)) {
        log_.line("the deployment did not start");
        return false;
    }
    return true;
}

bool deployment::wait_ready(milliseconds time) const
{
    constexpr milliseconds step{100};
    auto const end = clock::now() + time;
    for (auto const& each : hosts_) {
        while (!each->ready()) {
            if (clock::now() > end) {
                return false;
            }
            pause(step);
        }
    }
    return true;
}

void deployment::watch_processes()
{
    watcher_ = std::thread([this] {
        while (!over_) {
            for (std::size_t i = 0; i < hosts_.size(); ++i) {
                check(i);
            }
            pause(check_interval);
        }
    });
}

void deployment::check(std::size_t at)
{
    constexpr std::uint64_t limit = std::uint64_t{host::memory_mb} << 20U;
    host& each = *hosts_[at];
    std::uint64_t const resident = each.resident_bytes();
    peaks_[at] = std::max(peaks_[at], resident);
    auto const status = each.wait(milliseconds(0));
    if (status) {
        log_.line(each.name() + " has ended by itself, " +
                  (WIFSIGNALED(*status) ? "signal " + std::to_string(WTERMSIG(*status))
                                        : "status " + std::to_string(WEXITSTATUS(*status))));
    }
    else if (resident > limit) {
        log_.line("memory of " + each.name() + ": " + std::to_string(resident >> 20U) + " MiB of " +
                  std::to_string(host::memory_mb) + "; the platform kills the process");
        each.kill(SIGKILL);
        each.wait(end_time);
    }
    else {
        return;
    }
    ++ends_[at];
    each.start(false);
}

void deployment::finish()
{
    if (over_.exchange(true)) {
        return;
    }
    if (watcher_.joinable()) {
        watcher_.join();
    }
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
        log_.line(hosts_[i]->name() + ": ended by itself or for its memory " +
                  std::to_string(ends_[i]) + " times; peak of its memory " +
                  std::to_string(peaks_[i] >> 20U) + " MiB");
        hosts_[i]->kill(SIGKILL);
        hosts_[i]->wait(end_time);
    }
}

std::optional<message> ask(std::string const& ip, int port, std::string const& request,
                           milliseconds timeout)
{
    auto const with = connection::open(ip, port);
    return with && with->send(request) ? with->read(timeout) : std::nullopt;
}

void send_small(deployment& all, std::size_t to, std::string const& prefix,
                std::atomic<int>& served)
{
    constexpr milliseconds deadline{3000};
    constexpr milliseconds between{100};
    host const& at = *all.hosts()[to];
    for (int i = 0; !all.over(); ++i) {
        std::string const id = "s" + std::to_string(to) + "-" + std::to_string(i);
        auto const got = ask(at.ip(), at.client_port(),
                             request_head("GET", prefix + id, id, deadline, 0), deadline);
        served += got && got->first_line.find(" 200") != std::string::npos ? 1 : 0;
        all.log().line("answer to " + id + ": " + (got ? got->first_line : "none"));
        pause(between);
    }
}

} // namespace stand
