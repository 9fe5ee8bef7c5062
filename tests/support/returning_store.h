#pragma once
/** @file A store of the platform that can come back from an older copy of its data. */

#include "support/scripted_server.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>

namespace cove {

/**
 * Speaks the platform's protocol for lists, watches, creations and replacements. A watch returns at
 * once, also without events.
 */
class returning_store {
public:
    explicit returning_store(boost::asio::io_context& loop)
        : server_(loop, [this](std::string const& head) { return scripted_answer{answer(head)}; })
    {
    }

    [[nodiscard]] boost::asio::ip::tcp::endpoint endpoint() const { return server_.endpoint(); }

    void put(std::string const& kind, std::string const& name, nlohmann::json const& spec = {})
    {
        state_.objects[kind][name] = spec;
        add_event(kind, name, spec, false);
    }

    void remove(std::string const& kind, std::string const& name)
    {
        state_.objects[kind].erase(name);
        add_event(kind, name, {}, true);
    }

    [[nodiscard]] bool has(std::string const& kind, std::string const& name) const
    {
        auto const found = state_.objects.find(kind);
        return found != state_.objects.end() && found->second.contains(name);
    }

    /** Keeps a copy of the present data. */
    void copy() { copy_ = state_; }

    /** Refuses all calls until come_back(). */
    void go_away() { away_ = true; }

    /** Answers again, from the copy, in the next era. */
    void come_back()
    {
        state_ = copy_;
        ++era;
        away_ = false;
    }

    int era = 1;
    int lists = 0;

private:
    struct event {
        std::uint64_t revision = 0;
        std::string kind;
        nlohmann::json body;
    };
    struct contents {
        std::map<std::string, std::map<std::string, nlohmann::json>> objects;
        std::vector<event> events;
        std::uint64_t revision = 1;
    };

    static nlohmann::json object(std::string const& name, nlohmann::json const& spec)
    {
        return {{"metadata", {{"name", name}}}, {"spec", spec}};
    }

    void add_event(std::string const& kind, std::string const& name, nlohmann::json const& spec,
                   bool deleted)
    {
        ++state_.revision;
        state_.events.push_back(
            {state_.revision, kind, {{"object", object(name, spec)}, {"deleted", deleted}}});
    }

    std::string respond(int status, nlohmann::json const& body) const
    {
        std::string const text = body.dump();
        return "HTTP/1.1 " + std::to_string(status) +
               " Status\r\nStore-Era: " + std::to_string(era) +
               "\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text;
    }

    std::string answer(std::string const& head)
    {
        std::string const target =
            head.substr(head.find(' ') + 1, head.find(" HTTP") - head.find(' ') - 1);
        std::string const path = target.substr(0, target.find('?'));
        std::string kind = path.substr(std::string("/sycamorecove/objects/").size());
        std::string name;
        if (auto const slash = kind.find('/'); slash != std::string::npos) {
            name = kind.substr(slash + 1);
            kind.resize(slash);
        }
        if (away_) {
            return respond(503, nlohmann::json::object());
        }
        if (head.starts_with("POST")) {
            put(kind, created_name);
            return respond(201, nlohmann::json::object());
        }
        if (head.starts_with("PUT")) {
            return respond(has(kind, name) ? 200 : 404, nlohmann::json::object());
        }
        auto const watch = target.find("watch=");
        return watch == std::string::npos
                   ? list(kind)
                   : events_since(kind,
                                  std::stoull(target.substr(watch + std::string("watch=").size())));
    }

    std::string list(std::string const& kind)
    {
        ++lists;
        nlohmann::json items = nlohmann::json::array();
        for (auto const& [name, spec] : state_.objects[kind]) {
            items.push_back(object(name, spec));
        }
        return respond(
            200, {{"items", items}, {"has_more", false}, {"store_revision", state_.revision}});
    }

    std::string events_since(std::string const& kind, std::uint64_t from)
    {
        if (from > state_.revision) {
            return respond(410, nlohmann::json::object());
        }
        nlohmann::json events = nlohmann::json::array();
        for (event const& each : state_.events) {
            if (each.revision > from && each.kind == kind) {
                events.push_back(each.body);
            }
        }
        return respond(200, {{"events", events}, {"store_revision", state_.revision}});
    }

    static constexpr char const* created_name = "h1"; ///< of the only host; bodies are not read
    scripted_server server_;
    contents state_;
    contents copy_;
    bool away_ = false;
};

} // namespace cove
