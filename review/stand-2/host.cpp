#include "host.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sys/wait.h>
#include <unistd.h>

namespace stand {

namespace {

constexpr char const* program = "target/cove-host"; ///< of the deploy file; run at the root
constexpr milliseconds connect_timeout{1000};

} // namespace

entry_host::entry_host(host_place place, int port, std::string folder, record& notes)
    : place_(std::move(place)), port_(port), folder_(std::move(folder)), notes_(notes)
{
}

void entry_host::start(json settings, bool first)
{
    auto const at = [this](int offset) { return place_.ip + ":" + std::to_string(port_ + offset); };
    settings["name"] = place_.name;
    settings["zone"] = place_.zone;
    settings["region"] = settings["regions"][place_.zone];
    settings["ip"] = place_.ip;
    settings["client_address"] = at(0);
    settings["readiness_address"] = at(1);
    settings["directory_address"] = at(2);
    settings["metrics_address"] = at(3);
    settings["peer_port"] = port_ + 4;
    settings["relay_port"] = port_ + 5;
    settings["first_start"] = first;
    std::string const path = folder_ + "/" + place_.name + ".json";
    std::ofstream(path) << settings.dump(1) << "\n";
    std::string const log = folder_ + "/" + place_.name + ".log";
    pid_t const child = ::fork();
    if (child == 0) {
        int const out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(out, STDOUT_FILENO);
        ::dup2(out, STDERR_FILENO);
        ::execl(program, program, "--settings", path.c_str(), static_cast<char*>(nullptr));
        ::_exit(127);
    }
    process_ = child;
    notes_.note("host " + place_.name + " started");
}

void entry_host::signal(int number) const
{
    if (process_ > 0) {
        ::kill(process_, number);
    }
}

void entry_host::kill()
{
    pid_t const process = process_.exchange(0);
    if (process > 0) {
        ::kill(process, SIGKILL);
        ::waitpid(process, nullptr, 0);
    }
}

bool entry_host::running()
{
    if (process_ <= 0) {
        return false;
    }
    if (::waitpid(process_, nullptr, WNOHANG) == 0) {
        return true;
    }
    process_ = 0;
    return false;
}

int entry_host::readiness() const
{
    auto link = connection::to(place_.ip, port_ + 1, connect_timeout);
    if (!link.open() ||
        !link.send("GET /sycamorecove/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")) {
        return 0;
    }
    auto const got = link.receive(connect_timeout);
    return got ? got->status() : 0;
}

bool entry_host::wait_ready(long timeout_ms) const
{
    moment const began = clock::now();
    while (ms_since(began) < timeout_ms) {
        if (readiness() == 200) {
            return true;
        }
        sleep_ms(50);
    }
    return false;
}

long entry_host::resident_kb() const
{
    std::ifstream status("/proc/" + std::to_string(process_.load()) + "/status");
    std::string word;
    while (status >> word) {
        if (word == "VmRSS:") {
            long value = 0;
            status >> value;
            return value;
        }
    }
    return 0;
}

json common_settings(std::vector<host_place> const& hosts, std::string const& store_address)
{
    json regions = json::object();
    json seeds = json::array();
    for (host_place const& each : hosts) {
        regions[each.zone] = "north";
        if (seeds.size() < 3) {
            seeds.push_back(each.ip + ":9000");
        }
    }
    return {{"regions", regions},
            {"seeds", seeds},
            {"store_address", store_address},
            {"store_silence_max", "3000ms"},
            {"heartbeat", "1500ms"},
            {"drain", "2000ms"},
            {"grace", "6s"},
            {"answer_lifetime_max", "5s"},
            {"repeat_ratio", 0.2},
            {"repeat_window", "10s"},
            {"repeat_slack", 56},
            {"shift_cap", 0.15},
            {"memory_mb", 260},
            {"max_descriptors", 4100}};
}

outcome call(std::string const& ip, int port, std::string const& method, std::string const& path,
             std::string const& attempt, long deadline_ms)
{
    outcome out;
    auto link = connection::to(ip, port, connect_timeout);
    out.connected = link.open();
    message request;
    request.start = method + " " + path + " HTTP/1.1";
    request.fields = {{"Host", host_name},
                      {"X-Attempt-Id", attempt},
                      {"X-Deadline-Ms", std::to_string(deadline_ms)}};
    if (!out.connected || !link.send(request.text())) {
        return out;
    }
    moment const sent = clock::now();
    auto const got = link.receive(milliseconds(deadline_ms));
    if (got) {
        out.status = got->status();
        out.signed_by_server = !got->field("X-Server-Stamp").empty();
    }
    else if (ms_since(sent) >= deadline_ms) {
        out.status = -1;
    }
    return out;
}

bool trouble_wanted()
{
    char const* const value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

std::string make_folder()
{
    std::string path = "/tmp/cove-case-XXXXXX";
    return ::mkdtemp(path.data()) == nullptr ? std::string() : path;
}

void remove_folder(std::string const& path)
{
    std::error_code ignored;
    std::filesystem::remove_all(path, ignored);
}

} // namespace stand
