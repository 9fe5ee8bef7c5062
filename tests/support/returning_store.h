#pragma once
/** @file A store of the platform that can come back from an older copy of its data. */

#include "support/scripted_server.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>

namespace cove {

/** @return @p text from a path or query with its percent-encoded bytes decoded. */
inline std::string percent_decoded(std::string const& text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        }
        else {
            out += text[i];
        }
    }
    return out;
}

/** @return the decoded value of @p key in the query of @p target; a plus sign there is a blank. */
inline std::string query_value(std::string const& target, std::string const& key)
{
    std::string const query = target.find('?') == std::string::npos
                                  ? ""
                                  : "&" + target.substr(target.find('?') + 1) + "&";
    auto const at = query.find("&" + key + "=");
    if (at == std::string::npos) {
        return "";
    }
    auto const begin = at + key.size() + 2;
    std::string value = query.substr(begin, query.find('&', begin) - begin);
    std::replace(value.begin(), value.end(), '+', ' ');
    return percent_decoded(value);
}

/**
 * Speaks the platform's protocol for lists, watches, creations and replacements. A watch returns at
 * once, also without events. Reads a request as servers do: a fragment is dropped, a request line
 * with further blanks is refused.
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
    int lists = 0;                  ///< pages of lists served
    std::size_t page_items = 1'000; ///< objects on one page of a list

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
        std::string const line = head.substr(0, head.find("\r\n"));
        if (std::count(line.begin(), line.end(), ' ') != 2) {
            return respond(400, nlohmann::json::object());
        }
        std::string const target = line.substr(
            line.find(' ') + 1, line.find_first_of(" #", line.find(' ') + 1) - line.find(' ') - 1);
        std::string const path = target.substr(0, target.find('?'));
        std::string kind = path.substr(std::string("/sycamorecove/objects/").size());
        std::string name;
        if (auto const slash = kind.find('/'); slash != std::string::npos) {
            name = percent_decoded(kind.substr(slash + 1));
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
        std::string const watch = query_value(target, "watch");
        return watch.empty() ? list(kind, query_value(target, "after"))
                             : events_since(kind, std::stoull(watch));
    }

    std::string list(std::string const& kind, std::string const& after)
    {
        ++lists;
        auto const& objects = state_.objects[kind];
        auto next = after.empty() ? objects.begin() : objects.upper_bound(after);
        nlohmann::json items = nlohmann::json::array();
        for (; next != objects.end() && items.size() < page_items; ++next) {
            items.push_back(object(next->first, next->second));
        }
        return respond(200, {{"items", items},
                             {"has_more", next != objects.end()},
                             {"store_revision", state_.revision}});
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
