#include "stand.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace stand {

namespace {

constexpr int listen_backlog = 1024;
constexpr std::size_t read_bytes = 65'536;
constexpr std::size_t page_items = 500;
constexpr milliseconds poll_step{20};

sockaddr_in address_of(std::string const& ip, int port)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &out.sin_addr);
    return out;
}

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

std::string ms_text(milliseconds time)
{
    return std::to_string(time.count()) + "ms";
}

std::int64_t unix_ms()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

std::string query_value(std::string const& target, std::string const& key)
{
    auto at = target.find('?');
    while (at != std::string::npos) {
        auto const end = target.find('&', at + 1);
        std::string const pair =
            target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
        if (pair.rfind(key + "=", 0) == 0) {
            return pair.substr(key.size() + 1);
        }
        at = end;
    }
    return {};
}

} // namespace

void pause(milliseconds time)
{
    std::this_thread::sleep_for(time);
}

bool trouble()
{
    char const* const text = std::getenv("TROUBLE");
    return text == nullptr || std::string(text) != "0";
}

record::record(std::string const& path) : file_(std::fopen(path.c_str(), "we")) {}

record::~record()
{
    if (file_ != nullptr) {
        std::fclose(file_);
    }
}

void record::line(std::string const& text)
{
    std::lock_guard const lock(mutex_);
    auto const at = std::chrono::duration_cast<milliseconds>(clock::now() - started_).count();
    if (file_ != nullptr) {
        std::fprintf(file_, "%6lld %s\n", static_cast<long long>(at), text.c_str());
        std::fflush(file_);
    }
}

std::string message::field(std::string const& name) const
{
    auto const found = fields.find(name);
    return found == fields.end() ? std::string() : found->second;
}

connection::~connection()
{
    if (socket_ >= 0) {
        ::close(socket_);
    }
}

std::unique_ptr<connection> connection::open(std::string const& ip, int port)
{
    int const socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto out = std::make_unique<connection>(socket);
    sockaddr_in const to = address_of(ip, port);
    if (::connect(socket, reinterpret_cast<sockaddr const*>(&to), sizeof to) != 0) {
        return nullptr;
    }
    int const on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return out;
}

bool connection::send(std::string const& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        auto const got = ::send(socket_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (got <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(got);
    }
    return true;
}

bool connection::fill()
{
    std::size_t const before = buffer_.size();
    buffer_.resize(before + read_bytes);
    auto const got = ::recv(socket_, buffer_.data() + before, read_bytes, 0);
    buffer_.resize(before + static_cast<std::size_t>(std::max<ssize_t>(0, got)));
    return got > 0;
}

bool connection::read_line(std::string& line)
{
    std::size_t end = buffer_.find("\r\n");
    while (end == std::string::npos) {
        if (!fill()) {
            return false;
        }
        end = buffer_.find("\r\n");
    }
    line = buffer_.substr(0, end);
    buffer_.erase(0, end + 2);
    return true;
}

bool connection::take(std::size_t size, std::string* out)
{
    while (size > 0) {
        if (buffer_.empty() && !fill()) {
            return false;
        }
        std::size_t const part = std::min(size, buffer_.size());
        if (out != nullptr) {
            out->append(buffer_, 0, part);
        }
        buffer_.erase(0, part);
        size -= part;
    }
    return true;
}

std::optional<message> connection::read(milliseconds timeout, bool keep_body)
{
    timeval const limit{timeout.count() / 1000, timeout.count() % 1000 * 1000};
    ::setsockopt(socket_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    message out;
    std::string line;
    if (!read_line(out.first_line)) {
        return std::nullopt;
    }
    while (read_line(line) && !line.empty()) {
        auto const colon = line.find(':');
        auto const value = line.find_first_not_of(' ', colon + 1);
        out.fields[lower(line.substr(0, colon))] =
            value == std::string::npos ? std::string() : line.substr(value);
    }
    std::string* const body = keep_body ? &out.body : nullptr;
    if (out.field("transfer-encoding") != "chunked") {
        std::string const length = out.field("content-length");
        return take(length.empty() ? 0 : std::stoull(length), body) ? std::optional(out)
                                                                    : std::nullopt;
    }
    while (read_line(line)) {
        std::size_t const size = std::stoull(line, nullptr, 16);
        if (!take(size, body) || !read_line(line)) {
            return std::nullopt;
        }
        if (size == 0) {
            return out;
        }
    }
    return std::nullopt;
}

void connection::reset()
{
    linger const hard{1, 0};
    ::setsockopt(socket_, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    ::close(socket_);
    socket_ = -1;
}

listener::~listener()
{
    stop();
}

bool listener::start(std::string const& ip, int port, handler serve)
{
    ip_ = ip;
    port_ = port;
    socket_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int const on = 1;
    ::setsockopt(socket_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in const at = address_of(ip, port);
    if (::bind(socket_, reinterpret_cast<sockaddr const*>(&at), sizeof at) != 0 ||
        ::listen(socket_, listen_backlog) != 0) {
        return false;
    }
    acceptor_ = std::thread([this, serve = std::move(serve)] {
        for (;;) {
            pollfd state{socket_, POLLIN, 0};
            if (dark_ || ::poll(&state, 1, static_cast<int>(poll_step.count())) == 0) {
                pause(dark_ ? poll_step : milliseconds(0));
                continue;
            }
            int const got = ::accept4(socket_, nullptr, nullptr, SOCK_CLOEXEC);
            if (got < 0) {
                return;
            }
            int const no_delay = 1;
            ::setsockopt(got, IPPROTO_TCP, TCP_NODELAY, &no_delay, sizeof no_delay);
            auto const accepted = std::make_shared<connection>(got);
            std::lock_guard const lock(mutex_);
            std::erase_if(open_, [](auto const& each) { return each.expired(); });
            open_.push_back(accepted);
            threads_.emplace_back([serve, accepted] { serve(accepted); });
        }
    });
    return true;
}

void listener::end_connections()
{
    std::lock_guard const lock(mutex_);
    for (auto const& each : open_) {
        if (auto const one = each.lock(); one && one->socket() >= 0) {
            ::shutdown(one->socket(), SHUT_RDWR);
        }
    }
}

void listener::stop()
{
    if (socket_ < 0) {
        return;
    }
    come_back();
    ::shutdown(socket_, SHUT_RDWR);
    acceptor_.join();
    ::close(socket_);
    socket_ = -1;
    end_connections();
    for (std::thread& each : threads_) {
        each.join();
    }
    threads_.clear();
}

bool listener::go_dark()
{
    constexpr int max_pending = 64;
    constexpr int connect_ms = 50;
    dark_ = true;
    pause(2 * poll_step); // the acceptor has seen it
    static_cast<void>(::listen(socket_, 0));
    sockaddr_in const at = address_of(ip_, port_);
    bool full = false;
    while (!full && pending_.size() < max_pending) {
        pending_.push_back(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
        static_cast<void>(
            ::connect(pending_.back(), reinterpret_cast<sockaddr const*>(&at), sizeof at));
        pollfd state{pending_.back(), POLLOUT, 0};
        full = ::poll(&state, 1, connect_ms) == 0;
    }
    end_connections();
    return full;
}

void listener::come_back()
{
    for (int const each : pending_) {
        ::close(each);
    }
    pending_.clear();
    static_cast<void>(::listen(socket_, listen_backlog));
    dark_ = false;
}

int free_port(std::string const& ip)
{
    int const socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in at = address_of(ip, 0);
    socklen_t size = sizeof at;
    bool const bound = ::bind(socket, reinterpret_cast<sockaddr const*>(&at), sizeof at) == 0 &&
                       ::getsockname(socket, reinterpret_cast<sockaddr*>(&at), &size) == 0;
    ::close(socket);
    return bound ? ntohs(at.sin_port) : 0;
}

store::~store()
{
    stop();
}

bool store::start(std::string const& ip, int port)
{
    return listener_.start(ip, port, [this](auto const& with) { serve(*with); });
}

void store::stop()
{
    {
        std::lock_guard const lock(mutex_);
        closing_ = true;
    }
    changed_.notify_all();
    listener_.stop();
}

json store::to_json(std::string const& name, item const& of)
{
    return {{"metadata",
             {{"name", name},
              {"revision", of.revision},
              {"create_revision", of.created},
              {"finalizers", json::array()},
              {"deleting", false}}},
            {"spec", of.spec},
            {"status", nullptr}};
}

void store::change(std::string const& kind, std::string const& name, json const* spec)
{
    auto& objects = objects_[kind];
    auto const found = objects.find(name);
    bool const known = found != objects.end();
    if (spec == nullptr ? !known : known && found->second.spec == *spec) {
        return;
    }
    item changed = known ? found->second : item{};
    changed.revision = ++revision_;
    changed.created = known ? changed.created : revision_;
    if (spec != nullptr) {
        changed.spec = *spec;
        objects[name] = changed;
    }
    else {
        objects.erase(found);
    }
    history_.push_back({revision_, kind, to_json(name, changed), spec == nullptr});
    changed_.notify_all();
}

void store::put(std::string const& kind, std::string const& name, json const& spec)
{
    std::lock_guard const lock(mutex_);
    change(kind, name, &spec);
}

void store::remove(std::string const& kind, std::string const& name)
{
    std::lock_guard const lock(mutex_);
    change(kind, name, nullptr);
}

void store::serve(connection& with)
{
    constexpr milliseconds idle_time{60'000};
    while (auto const request = with.read(idle_time)) {
        auto const [status, body] = answer(*request);
        std::string const text = body.dump();
        if (!with.send("HTTP/1.1 " + std::to_string(status) +
                       " Status\r\nContent-Type: application/json\r\nStore-Era: 1\r\n"
                       "Content-Length: " +
                       std::to_string(text.size()) + "\r\n\r\n" + text)) {
            return;
        }
    }
}

std::pair<int, json> store::answer(message const& request)
{
    auto const first = request.first_line.find(' ');
    std::string const method = request.first_line.substr(0, first);
    std::string const target =
        request.first_line.substr(first + 1, request.first_line.rfind(' ') - first - 1);
    std::string const prefix = "/sycamorecove/objects/";
    if (target.rfind(prefix, 0) != 0) {
        return {404, json::object()};
    }
    std::string const rest = target.substr(prefix.size(), target.find('?') - prefix.size());
    std::string const kind = rest.substr(0, rest.find('/'));
    if (method == "GET") {
        std::string const from = query_value(target, "watch");
        std::string const wait = query_value(target, "wait_ms");
        return from.empty() ? std::pair(200, list(kind, query_value(target, "after")))
                            : watch(kind, std::stoull(from),
                                    milliseconds(wait.empty() ? 0 : std::stoi(wait)));
    }
    json const body = json::parse(request.body, nullptr, false);
    if (!body.is_object() || (method != "POST" && method != "PUT")) {
        return {400, json::object()};
    }
    bool const create = method == "POST";
    std::string const name = create ? body.at("metadata").at("name").get<std::string>()
                                    : rest.substr(rest.find('/') + 1);
    std::lock_guard const lock(mutex_);
    if (create == objects_[kind].contains(name)) {
        return {create ? 409 : 404, json::object()};
    }
    json const spec = body.value("spec", json());
    change(kind, name, &spec);
    return {create ? 201 : 200, to_json(name, objects_[kind].at(name))};
}

json store::list(std::string const& kind, std::string const& after)
{
    std::lock_guard const lock(mutex_);
    auto const& objects = objects_[kind];
    auto at = after.empty() ? objects.begin() : objects.upper_bound(after);
    json items = json::array();
    for (; at != objects.end() && items.size() < page_items; ++at) {
        items.push_back(to_json(at->first, at->second));
    }
    return {{"items", items}, {"has_more", at != objects.end()}, {"store_revision", revision_}};
}

std::pair<int, json> store::watch(std::string const& kind, std::uint64_t from, milliseconds wait)
{
    auto const end = clock::now() + wait;
    std::unique_lock lock(mutex_);
    json events = json::array();
    changed_.wait_until(lock, end, [&] {
        for (event const& each : history_) {
            if (each.revision > from && each.kind == kind) {
                events.push_back({{"deleted", each.deleted}, {"object", each.object}});
            }
        }
        return closing_ || !events.empty();
    });
    if (closing_) {
        return {503, json::object()};
    }
    return {200, {{"events", events}, {"store_revision", revision_}}};
}

json config_spec(int version, std::vector<route> const& routes,
                 std::vector<std::string> const& services)
{
    json resources = json::array();
    for (route const& each : routes) {
        resources.push_back({{"resource_kind", "routes"},
                             {"metadata", {{"name", each.name}}},
                             {"spec",
                              {{"host", host_name},
                               {"path_prefix", each.prefix},
                               {"kind", each.kind},
                               {"timeout", ms_text(each.timeout)},
                               {"target_latency", ms_text(each.objective)},
                               {"priority", 1},
                               {"service", each.service},
                               {"max_attempts", each.max_attempts},
                               {"sticky_sessions", true},
                               {"home_regions", json::array()}}}});
    }
    for (std::string const& each : services) {
        resources.push_back({{"resource_kind", "services"},
                             {"metadata", {{"name", each}}},
                             {"spec",
                              {{"health_path", "/healthz"},
                               {"max_conns", 390},
                               {"protocol", "h1"},
                               {"tls", false},
                               {"cold_start", ms_text(cold_start)},
                               {"cold_per_s", 13.0}}}});
    }
    resources.push_back({{"resource_kind", "limits"},
                         {"metadata", json::object()},
                         {"spec",
                          {{"max_header_bytes", 16384},
                           {"max_body_bytes", 67108864},
                           {"header_timeout", "3000ms"},
                           {"idle_timeout", "15000ms"}}}});
    char text[16];
    std::snprintf(text, sizeof text, "%08x", static_cast<unsigned>(version));
    return {{"version", text}, {"resources", resources}};
}

server::server(std::string id, std::string service, std::string zone, int slots, record& log,
               work_time work)
    : id_(std::move(id)), service_(std::move(service)), zone_(std::move(zone)), slots_(slots),
      log_(log), work_(std::move(work))
{
}

bool server::start(std::string const& ip, int port, store& platform)
{
    ip_ = ip;
    port_ = port;
    platform_ = &platform;
    bool const listens = listener_.start(ip, port, [this](auto const& with) { serve(*with); });
    born_ms_ = unix_ms();
    report(milliseconds(0));
    return listens;
}

void server::report(milliseconds cold_left)
{
    platform_->put(
        "servers", id_,
        {{"address", ip_ + ":" + std::to_string(port_)},
         {"born", born_ms_},
         {"info", {{"service", service_}, {"version", "v1"}, {"zone", zone_}, {"slots", slots_}}},
         {"status", {{"state", "ready"}, {"seq", 1}, {"cold_remaining", ms_text(cold_left)}}}});
}

bool server::crash(bool dark)
{
    dark_ = dark;
    if (dark) {
        return listener_.go_dark();
    }
    listener_.stop();
    return true;
}

bool server::come_back()
{
    bool listens = true;
    if (dark_) {
        listener_.come_back();
    }
    else {
        listens = listener_.start(ip_, port_, [this](auto const& with) { serve(*with); });
    }
    born_ms_ = unix_ms();
    report(cold_start);
    return listens;
}

void server::warm()
{
    report(milliseconds(0));
}

void server::serve(connection& with)
{
    constexpr milliseconds idle_time{10'000};
    while (auto const request = with.read(idle_time, false)) {
        if (!with.send(answer(*request))) {
            return;
        }
    }
}

std::string server::answer(message const& request)
{
    std::string const id = request.field("x-attempt-id");
    auto const with_status = [&](std::string const& status, std::string const& fields) {
        return "HTTP/1.1 " + status + "\r\nX-Attempt-Id: " + id + "\r\n" + fields +
               "X-Server-Load: " + std::to_string(running_) + ",0," + std::to_string(slots_) +
               "\r\n";
    };
    if (request.first_line.find(" /healthz ") != std::string::npos) {
        return "HTTP/1.1 200 OK\r\nX-Instance-Id: " + id_ + "\r\nContent-Length: 0\r\n\r\n";
    }
    std::string const not_run = "X-Not-Executed: 1\r\nContent-Length: 0\r\n";
    if (request.field("x-expect-instance") != id_) {
        return with_status("421 Misdirected Request", not_run) + "\r\n";
    }
    if (++running_ > slots_) {
        --running_;
        return with_status("503 Service Unavailable", not_run) + "\r\n";
    }
    ++runs_;
    if (log_.keeps_runs()) {
        log_.line("run " + id + " at " + id_ + " " + request.first_line);
    }
    pause(work_(request));
    --running_;
    std::string const body = "answer to " + id;
    return with_status("200 OK", "X-Server-Stamp: " + id_ + "." + id + "\r\nContent-Length: " +
                                     std::to_string(body.size()) + "\r\n") +
           "\r\n" + body;
}

host::host(place where, json regions, std::string store_address, int peer_port, int relay_port,
           std::string folder)
    : where_(std::move(where)), folder_(std::move(folder)), client_port_(free_port(where_.ip)),
      readiness_port_(free_port(where_.ip)), directory_port_(free_port(where_.ip))
{
    auto const at = [this](int port) { return where_.ip + ":" + std::to_string(port); };
    settings_ = {{"name", where_.name},
                 {"zone", where_.zone},
                 {"region", where_.region},
                 {"regions", std::move(regions)},
                 {"client_address", at(client_port_)},
                 {"readiness_address", at(readiness_port_)},
                 {"directory_address", at(directory_port_)},
                 {"metrics_address", at(free_port(where_.ip))},
                 {"ip", where_.ip},
                 {"peer_port", peer_port},
                 {"relay_port", relay_port},
                 {"seeds", json::array()},
                 {"store_address", std::move(store_address)},
                 {"store_silence_max", "4000ms"},
                 {"heartbeat", "1500ms"},
                 {"drain", "2500ms"},
                 {"grace", "6s"},
                 {"answer_lifetime_max", "5s"},
                 {"repeat_ratio", 0.2},
                 {"repeat_window", "10s"},
                 {"repeat_slack", 64},
                 {"shift_cap", 0.15},
                 {"memory_mb", memory_mb},
                 {"max_descriptors", 4100}};
}

host::~host()
{
    if (running()) {
        kill(SIGKILL);
        wait(milliseconds(5000));
    }
}

void host::set_seeds(std::vector<std::string> const& ips)
{
    for (std::string const& ip : ips) {
        settings_["seeds"].push_back(ip + ":1");
    }
}

void host::start(bool first_start)
{
    settings_["first_start"] = first_start;
    std::string const path = folder_ + "/" + where_.name + ".json";
    std::ofstream(path) << settings_.dump(2);
    std::string const log = folder_ + "/" + where_.name + ".out";
    std::fflush(nullptr);
    pid_ = ::fork();
    if (pid_ == 0) {
        int const out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::dup2(out, STDOUT_FILENO);
        ::dup2(out, STDERR_FILENO);
        ::execl("target/cove-host", "target/cove-host", "--settings", path.c_str(), nullptr);
        ::_exit(127);
    }
}

void host::kill(int signal) const
{
    if (pid_ > 0) {
        ::kill(pid_, signal);
    }
}

std::optional<int> host::wait(milliseconds time)
{
    auto const end = clock::now() + time;
    int status = 0;
    while (pid_ > 0) {
        if (::waitpid(pid_, &status, WNOHANG) == pid_) {
            pid_ = -1;
            return status;
        }
        if (clock::now() >= end) {
            break;
        }
        pause(poll_step);
    }
    return std::nullopt;
}

bool host::ready() const
{
    constexpr milliseconds timeout{1000};
    auto const to = connection::open(where_.ip, readiness_port_);
    if (!to ||
        !to->send("GET /sycamorecove/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")) {
        return false;
    }
    auto const got = to->read(timeout);
    return got && got->first_line.find(" 200") != std::string::npos;
}

std::uint64_t host::resident_bytes() const
{
    std::ifstream file("/proc/" + std::to_string(pid_) + "/statm");
    std::uint64_t total = 0;
    std::uint64_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE));
}

std::string request_head(std::string const& method, std::string const& path, std::string const& id,
                         milliseconds deadline, std::uint64_t body_bytes)
{
    std::string out = method + " " + path + " HTTP/1.1\r\nHost: " + host_name +
                      "\r\nX-Attempt-Id: " + id +
                      "\r\nX-Deadline-Ms: " + std::to_string(deadline.count()) + "\r\n";
    if (body_bytes > 0) {
        out += "Content-Length: " + std::to_string(body_bytes) + "\r\n";
    }
    return out + "\r\n";
}

std::string loopback_ip(int number)
{
    int const pid = ::getpid();
    return "127." + std::to_string(10 + pid % 200) + "." + std::to_string(pid / 200 % 250) + "." +
           std::to_string(number);
}

} // namespace stand
