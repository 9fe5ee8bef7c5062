#include "process_soak/store_standin.h"

#include "platform/wire_names.h"

namespace cove {

namespace {

using json = nlohmann::json;

constexpr std::size_t page_items = 500;
constexpr char const* era = "1";
constexpr int ok_status = 200;
constexpr int created_status = 201;
constexpr int bad_request_status = 400;
constexpr int not_found_status = 404;
constexpr int conflict_status = 409;
constexpr int gone_status = 410;
constexpr int unavailable_status = 503;

void answer(httplib::Response& response, int status, json const& body)
{
    response.status = status;
    response.set_header(wire::store_era_header, era);
    response.set_content(body.dump(), "application/json");
}

} // namespace

store_standin::store_standin(std::size_t threads) : listener_(threads)
{
    std::string const kind = std::string(wire::objects_path) + "([^/]+)";
    std::string const name = kind + "/([^/]+)";
    listener_.server.Get(kind, [this](auto const& request, auto& response) {
        request.has_param("watch") ? watch(request, response) : list(request, response);
    });
    listener_.server.Post(
        kind, [this](auto const& request, auto& response) { write(request, response, true); });
    listener_.server.Put(
        name, [this](auto const& request, auto& response) { write(request, response, false); });
}

store_standin::~store_standin()
{
    {
        std::lock_guard const lock(mutex_);
        closing_ = true;
    }
    changed_.notify_all();
    listener_.stop();
}

bool store_standin::start(std::string const& ip, int port)
{
    return listener_.start(ip, port);
}

mono_time store_standin::put(std::string const& kind, std::string const& name, json const& spec)
{
    std::lock_guard const lock(mutex_);
    change(kind, name, &spec);
    return read_clocks().mono;
}

mono_time store_standin::remove(std::string const& kind, std::string const& name)
{
    std::lock_guard const lock(mutex_);
    change(kind, name, nullptr);
    return read_clocks().mono;
}

json store_standin::to_json(std::string const& name, object const& item)
{
    return {{"metadata",
             {{"name", name},
              {"revision", item.revision},
              {"create_revision", item.create_revision},
              {"finalizers", json::array()},
              {"deleting", false}}},
            {"spec", item.spec},
            {"status", nullptr}};
}

/** Replaces or, without @p spec, removes an object. The caller holds the lock. */
void store_standin::change(std::string const& kind, std::string const& name, json const* spec)
{
    auto& objects = objects_[kind];
    auto const found = objects.find(name);
    bool const known = found != objects.end();
    if (spec == nullptr ? !known : known && found->second.spec == *spec) {
        return; // changes nothing, so it makes no event
    }
    object item = known ? found->second : object{};
    item.revision = ++revision_;
    item.create_revision = known ? item.create_revision : revision_;
    if (spec != nullptr) {
        item.spec = *spec;
        objects[name] = item;
    }
    else {
        objects.erase(found);
    }
    history_.push_back({revision_, kind, to_json(name, item), spec == nullptr});
    changed_.notify_all();
}

void store_standin::list(httplib::Request const& request, httplib::Response& response)
{
    std::lock_guard const lock(mutex_);
    auto const& objects = objects_[request.matches[1]];
    std::string const after = request.get_param_value("after");
    auto at = after.empty() ? objects.begin() : objects.upper_bound(after);
    json items = json::array();
    for (; at != objects.end() && items.size() < page_items; ++at) {
        items.push_back(to_json(at->first, at->second));
    }
    answer(response, ok_status,
           {{"items", items}, {"has_more", at != objects.end()}, {"store_revision", revision_}});
}

void store_standin::watch(httplib::Request const& request, httplib::Response& response)
{
    std::string const kind = request.matches[1];
    std::uint64_t const from = std::stoull(request.get_param_value("watch"));
    std::string const wait = request.get_param_value("wait_ms");
    mono_time const end = read_clocks().mono + milliseconds(wait.empty() ? 0 : std::stoi(wait));
    std::unique_lock lock(mutex_);
    if (from > revision_) {
        answer(response, gone_status, json::object());
        return;
    }
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
        answer(response, unavailable_status, json::object());
        return;
    }
    answer(response, ok_status, {{"events", events}, {"store_revision", revision_}});
}

void store_standin::write(httplib::Request const& request, httplib::Response& response, bool create)
{
    json const body = json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
        answer(response, bad_request_status, json::object());
        return;
    }
    std::lock_guard const lock(mutex_);
    std::string const kind = request.matches[1];
    std::string const name =
        create ? body["metadata"]["name"].get<std::string>() : std::string(request.matches[2]);
    auto const& objects = objects_[kind];
    if (create == objects.contains(name)) {
        answer(response, create ? conflict_status : not_found_status, json::object());
        return;
    }
    json const spec = body.value("spec", json());
    change(kind, name, &spec);
    answer(response, create ? created_status : ok_status, to_json(name, objects.at(name)));
}

} // namespace cove
