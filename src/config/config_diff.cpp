#include "config/config_json.h"
#include "config/config_section.h"

#include <map>
#include <nlohmann/json.hpp>

namespace cove {

namespace {

using json = nlohmann::ordered_json;
using keyed_items = std::map<std::string, json>;

/** @return the key that identifies an item among the items of its array. */
std::string key_of(json const& item)
{
    if (item.is_string()) {
        return item.get<std::string>();
    }
    for (char const* key : {"id", "prefix"}) {
        if (item.contains(key)) {
            return item.at(key).get<std::string>();
        }
    }
    return item.at("from").get<std::string>() + "-" + item.at("to").get<std::string>();
}

keyed_items by_key(json const& list)
{
    keyed_items out;
    for (json const& item : list) {
        out.emplace(key_of(item), item);
    }
    return out;
}

void diff_fields(std::string const& name, json const& before, json const& after,
                 std::vector<std::string>& lines)
{
    for (auto const& field : after.items()) {
        json const& old = before.at(field.key());
        if (old != field.value()) {
            lines.push_back("~ " + name + " " + field.key() + ": " + old.dump() + " -> " +
                            field.value().dump());
        }
    }
}

void diff_list(std::string const& name, json const& before, json const& after,
               std::vector<std::string>& lines)
{
    keyed_items const old_items = by_key(before);
    keyed_items const new_items = by_key(after);
    for (auto const& [key, item] : old_items) {
        if (!new_items.contains(key)) {
            lines.push_back(std::string("- ").append(name).append(" ").append(key));
        }
    }
    for (auto const& [key, item] : new_items) {
        auto const old = old_items.find(key);
        if (old == old_items.end()) {
            lines.push_back(std::string("+ ").append(name).append(" ").append(key).append(" ") +
                            item.dump());
        }
        else if (item.is_object()) {
            diff_fields(std::string(name).append(" ").append(key), old->second, item, lines);
        }
    }
}

} // namespace

std::vector<std::string> diff_deployments(deployment const& before, deployment const& after)
{
    std::vector<std::string> lines;
    json const old_parts = to_json(before);
    json const new_parts = to_json(after);
    for (auto const& part : new_parts.items()) {
        json const& old = old_parts.at(part.key());
        if (part.value().is_array()) {
            diff_list(part.key(), old, part.value(), lines);
        }
        else if (part.value().is_object()) {
            diff_fields(part.key(), old, part.value(), lines);
        }
        else if (old != part.value()) {
            lines.push_back("~ " + part.key() + ": " + old.dump() + " -> " + part.value().dump());
        }
    }
    return lines;
}

} // namespace cove
