#include "platform.h"

#include <algorithm>
#include <set>

namespace stand {

namespace {

constexpr char const* objects_path = "/sycamorecove/objects/";

message reply(int status, json const& body)
{
    message out;
    out.start = "HTTP/1.1 " + std::to_string(status) + " x";
    out.fields = {{"Content-Type", "application/json"}, {"Store-Era", "1"}};
    out.body = body.dump();
    return out;
}

std::map<std::string, std::string> query_of(std::string const& target)
{
    std::map<std::string, std::string> out;
    auto at = target.find('?');
    while (at != std::string::npos) {
        auto const end = target.find('&', at + 1);
        std::string const part =
            target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
        auto const sign = part.find('=');
        if (sign != std::string::npos) {
            out[part.substr(0, sign)] = part.substr(sign + 1);
        }
        at = end;
    }
    return out;
}

} // namespace

record::record(std::string const& path) : file_(std::fopen(path.c_str(), "w")) {}

record::~record()
{
    if (file_ != nullptr) {
        static_cast<void>(std::fclose(file_));
    }
}

void record::note(std::string const& line)
{
    std::lock_guard const lock(mutex_);
    if (file_ != nullptr) {
        std::fprintf(file_, "%8ld ms  %s\n", now(), line.c_str());
        std::fflush(file_);
    }
}

store::store() : server_([this](message const& request) { return answer(request); }) {}

void store::stop()
{
    {
        std::lock_guard const lock(mutex_);
        closing_ = true;
    }
    changed_.notify_all();
    server_.stop();
}

void store::put(std::string const& kind, std::string const& name, json const& spec)
{
    std::lock_guard const lock(mutex_);
    apply(kind, name, &spec);
}

void store::remove(std::string const& kind, std::string const& name)
{
    std::lock_guard const lock(mutex_);
    apply(kind, name, nullptr);
}

void store::set_down(bool down)
{
    {
        std::lock_guard const lock(mutex_);
        down_ = down;
    }
    changed_.notify_all();
}

void store::set_copies(std::vector<long> ages_ms)
{
    std::lock_guard const lock(mutex_);
    copy_ages_ = std::move(ages_ms);
    stale_reads_ = 0;
}

int store::calls(std::string const& what)
{
    std::lock_guard const lock(mutex_);
    return calls_[what];
}

void store::apply(std::string const& kind, std::string const& name, json const* spec)
{
    auto& objects = objects_[kind];
    auto const found = objects.find(name);
    bool const known = found != objects.end();
    if (spec == nullptr ? !known : known && found->second["spec"] == *spec) {
        return; // changes nothing
    }
    json object = known ? found->second : json::object();
    object["metadata"] = {
        {"name", name},
        {"revision", ++revision_},
        {"create_revision", known ? object["metadata"]["create_revision"] : json(revision_)},
        {"finalizers", json::array()},
        {"deleting", false}};
    if (spec != nullptr) {
        object["spec"] = *spec;
        object["status"] = nullptr;
        objects[name] = object;
    }
    else {
        objects.erase(found);
    }
    history_.push_back({revision_, clock::now(), kind, name, object, spec == nullptr});
    changed_.notify_all();
}

std::optional<message> store::answer(message const& request)
{
    std::string const target = request.word(1);
    std::string const path = target.substr(0, target.find('?'));
    auto const query = query_of(target);
    if (path.rfind(objects_path, 0) != 0) {
        return reply(404, json::object());
    }
    std::string const rest = path.substr(std::string(objects_path).size());
    std::string const kind = rest.substr(0, rest.find('/'));
    std::string const name = rest.size() > kind.size() ? rest.substr(kind.size() + 1) : "";
    {
        std::lock_guard const lock(mutex_);
        if (down_ || closing_) {
            return reply(503, json::object());
        }
    }
    if (request.word(0) != "GET") {
        return write(request, kind, name);
    }
    auto const from = query.find("watch");
    if (from == query.end()) {
        return list(kind, query);
    }
    auto const wait = query.find("wait_ms");
    return watch(kind, std::strtoull(from->second.c_str(), nullptr, 10),
                 wait == query.end() ? 0 : std::atol(wait->second.c_str()));
}

message store::list(std::string const& kind, std::map<std::string, std::string> const& query)
{
    std::lock_guard const lock(mutex_);
    ++calls_["list " + kind];
    long age_ms = 0;
    if (query.contains("stale_ok") && !copy_ages_.empty()) {
        age_ms = copy_ages_[stale_reads_++ % copy_ages_.size()];
    }
    moment const as_of = clock::now() - milliseconds(age_ms);
    std::map<std::string, json> objects;
    std::uint64_t revision = age_ms == 0 ? revision_ : 10;
    for (change const& each : history_) {
        if (age_ms > 0 && each.at > as_of) {
            break;
        }
        revision = std::max(revision, each.revision);
        if (each.kind == kind && each.deleted) {
            objects.erase(each.name);
        }
        else if (each.kind == kind) {
            objects[each.name] = each.object;
        }
    }
    auto const after = query.find("after");
    auto at = after == query.end() ? objects.begin() : objects.upper_bound(after->second);
    json items = json::array();
    for (; at != objects.end() && items.size() < page_; ++at) {
        items.push_back(at->second);
    }
    return reply(
        200, {{"items", items}, {"has_more", at != objects.end()}, {"store_revision", revision}});
}

std::optional<message> store::watch(std::string const& kind, std::uint64_t from, long wait_ms)
{
    std::unique_lock lock(mutex_);
    ++calls_["watch " + kind];
    if (from > revision_) {
        return reply(410, json::object());
    }
    json events = json::array();
    changed_.wait_until(lock, clock::now() + milliseconds(wait_ms), [&] {
        for (change const& each : history_) {
            if (each.revision > from && each.kind == kind) {
                events.push_back({{"deleted", each.deleted}, {"object", each.object}});
            }
        }
        return closing_ || down_ || !events.empty();
    });
    if (closing_ || down_) {
        return std::nullopt; // a watch that is waiting may be cut off
    }
    return reply(200, {{"events", events}, {"store_revision", revision_}});
}

message store::write(message const& request, std::string const& kind, std::string const& name)
{
    json const body = json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
        return reply(400, json::object());
    }
    std::lock_guard const lock(mutex_);
    bool const creates = request.word(0) == "POST";
    std::string const key = creates ? body["metadata"]["name"].get<std::string>() : name;
    bool const known = objects_[kind].contains(key);
    if (creates == known) {
        return reply(creates ? 409 : 404, known ? objects_[kind][key] : json::object());
    }
    json const spec = body.value("spec", json());
    apply(kind, key, &spec);
    return reply(creates ? 201 : 200, objects_[kind][key]);
}

target::target(std::string id, std::string service, std::string zone, record& notes)
    : id_(std::move(id)), service_(std::move(service)), zone_(std::move(zone)), notes_(notes),
      server_([this](message const& request) { return answer(request); })
{
    born_again();
}

void target::born_again()
{
    born_ = static_cast<long>(std::chrono::duration_cast<milliseconds>(
                                  std::chrono::system_clock::now().time_since_epoch())
                                  .count());
}

bool target::start(std::string const& ip, int port)
{
    ended_ = false;
    address_ = ip + ":" + std::to_string(port);
    return server_.start(ip, port);
}

void target::stop()
{
    ended_ = true;
    server_.stop();
}

void target::report(store& where, std::string const& state)
{
    where.put("servers", id_,
              {{"address", address_},
               {"born", born_.load()},
               {"info", {{"service", service_}, {"version", "v1"}, {"zone", zone_}, {"slots", 6}}},
               {"status", {{"state", state}, {"seq", 1}, {"cold_remaining", "0ms"}}}});
    notes_.note("server " + id_ + " reports " + state);
}

std::vector<target::run> target::runs()
{
    std::lock_guard const lock(mutex_);
    return runs_;
}

std::optional<message> target::answer(message const& request)
{
    message out;
    out.start = "HTTP/1.1 200 OK";
    out.fields = {{"X-Instance-Id", id_}, {"X-Server-Load", "0,0,6"}};
    std::string const attempt = request.field("X-Attempt-Id");
    if (leaving_) {
        out.fields.emplace_back("Server-Leaving", "1");
    }
    if (request.word(1) == "/healthz") {
        return out;
    }
    out.fields.emplace_back("X-Attempt-Id", attempt);
    std::string const expected = request.field("X-Expect-Instance");
    if (!expected.empty() && expected != id_) {
        out.start = "HTTP/1.1 421 Misdirected Request";
        out.fields.emplace_back("X-Not-Executed", "1");
        return out;
    }
    {
        std::lock_guard const lock(mutex_);
        runs_.push_back({notes_.now(), attempt, request.word(0)});
    }
    notes_.note("server " + id_ + " runs " + attempt);
    if (!endless_.empty() && attempt.rfind(endless_, 0) == 0) {
        while (!ended_) {
            sleep_ms(10);
        }
        return std::nullopt;
    }
    sleep_ms(work_ms_);
    out.fields.emplace_back("X-Server-Stamp", id_ + "." + attempt);
    out.body = "whole body of " + attempt;
    return out;
}

json config_spec(std::vector<route> const& routes, std::string const& version)
{
    json resources = json::array();
    std::set<std::string> services;
    for (route const& each : routes) {
        resources.push_back({{"resource_kind", "routes"},
                             {"metadata", {{"name", "r" + std::to_string(resources.size())}}},
                             {"spec",
                              {{"host", host_name},
                               {"path_prefix", each.prefix},
                               {"kind", each.idempotent ? "idempotent" : "non_idempotent"},
                               {"timeout", "2000ms"},
                               {"target_latency", "300ms"},
                               {"priority", 1},
                               {"service", each.service},
                               {"max_attempts", 2},
                               {"sticky_sessions", false},
                               {"home_regions", json::array()}}}});
        services.insert(each.service);
    }
    for (std::string const& name : services) {
        resources.push_back({{"resource_kind", "services"},
                             {"metadata", {{"name", name}}},
                             {"spec",
                              {{"health_path", "/healthz"},
                               {"max_conns", 330},
                               {"protocol", "h1"},
                               {"tls", false},
                               {"cold_start", "3s"},
                               {"cold_per_s", 13.0}}}});
    }
    resources.push_back({{"resource_kind", "limits"},
                         {"metadata", json::object()},
                         {"spec",
                          {{"max_header_bytes", 16'384},
                           {"max_body_bytes", 67'108'864},
                           {"header_timeout", "3000ms"},
                           {"idle_timeout", "15000ms"}}}});
    return {{"version", version}, {"base_version", version}, {"resources", resources}};
}

} // namespace stand
