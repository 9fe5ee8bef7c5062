#include "config/config_section.h"

#include "config/config_check.h"
#include "config/config_json.h"
#include "config/json_reader.h"
#include "core/hash_func.h"
#include "settings/settings_table.h"

#include <iomanip>
#include <sstream>

namespace cove {

namespace {

using json = nlohmann::ordered_json;

constexpr int block_number_width = 4; ///< digits of a client block list's number

config_section make_section(std::string name, json const& content)
{
    std::string text = content.dump();
    std::string hash = content_hash(text);
    return {{std::move(name), std::move(hash)}, make_payload(std::move(text))};
}

json select_keys(json const& all, std::initializer_list<char const*> keys)
{
    json out = json::object();
    for (char const* key : keys) {
        out[key] = all.at(key);
    }
    return out;
}

std::string block_section_name(std::size_t index)
{
    std::ostringstream name;
    name << "client_blocks." << std::setw(block_number_width) << std::setfill('0') << index;
    return name.str();
}

template <class Item>
void append(std::vector<Item>& to, std::vector<Item> const& from)
{
    to.insert(to.end(), from.begin(), from.end());
}

} // namespace

result<std::vector<config_section>> split_sections(deployment const& config)
{
    deployment rest = config;
    rest.client_blocks.clear();
    json const all = to_json(rest);
    std::vector<config_section> out;
    for (std::size_t i = 0; i < config.client_blocks.size(); ++i) {
        deployment list;
        list.client_blocks.push_back(config.client_blocks[i]);
        out.push_back(
            make_section(block_section_name(i), select_keys(to_json(list), {"client_blocks"})));
    }
    out.push_back(make_section("events", select_keys(all, {"events"})));
    out.push_back(make_section("moves", select_keys(all, {"moves"})));
    out.push_back(
        make_section("places", select_keys(all, {"name", "regions", "zones", "links", "shift"})));
    out.push_back(make_section("services", select_keys(all, {"services"})));
    out.push_back(make_section("sites", select_keys(all, {"sites"})));
    for (config_section const& section : out) {
        if (section.text->size() > max_section_bytes) {
            return fail("config.split", section.ref.name,
                        "expected at most " + std::to_string(max_section_bytes) + " bytes, found " +
                            std::to_string(section.text->size()));
        }
    }
    return out;
}

std::vector<section_ref> section_refs(std::vector<config_section> const& sections)
{
    std::vector<section_ref> refs;
    refs.reserve(sections.size());
    for (config_section const& section : sections) {
        refs.push_back(section.ref);
    }
    return refs;
}

deployment merge_fragments(std::vector<std::shared_ptr<deployment const>> const& fragments)
{
    deployment out;
    for (auto const& fragment : fragments) {
        if (!fragment->name.empty()) {
            out.name = fragment->name;
            out.shift = fragment->shift;
        }
        append(out.regions, fragment->regions);
        append(out.zones, fragment->zones);
        append(out.links, fragment->links);
        append(out.services, fragment->services);
        append(out.events, fragment->events);
        append(out.moves, fragment->moves);
        append(out.sites, fragment->sites);
        append(out.client_blocks, fragment->client_blocks);
    }
    return out;
}

result<deployment> join_sections(std::vector<config_section> const& sections,
                                 std::string const& source)
{
    std::vector<std::shared_ptr<deployment const>> fragments;
    for (config_section const& section : sections) {
        auto fragment = parse_fragment(*section.text, source + "/" + section.ref.name);
        if (!fragment) {
            return tl::make_unexpected(fragment.error());
        }
        fragments.push_back(std::make_shared<deployment const>(std::move(*fragment)));
    }
    deployment out = merge_fragments(fragments);
    try {
        check_deployment(out);
    }
    catch (format_error const& error) {
        return fail("config.check", source + "#" + error.location.to_string(), error.message);
    }
    return out;
}

std::string print_manifest(config_manifest const& manifest)
{
    json sections = json::array();
    for (section_ref const& ref : manifest.sections) {
        sections.push_back({{"name", ref.name}, {"hash", ref.hash}});
    }
    return json{{"generation", manifest.number.value},
                {"submit_id", manifest.submit_id},
                {"sections", sections}}
        .dump();
}

result<config_manifest> parse_manifest(std::string_view text, std::string const& source)
{
    auto const parsed = parse_json(text, source);
    if (!parsed) {
        return tl::make_unexpected(parsed.error());
    }
    try {
        object_reader from(*parsed, json_pointer());
        config_manifest out;
        out.number = generation{static_cast<std::uint64_t>(
            from.integer("generation", 1, std::numeric_limits<std::int64_t>::max()))};
        out.submit_id = from.text("submit_id");
        out.sections = from.list<section_ref>(
            "sections", [](nlohmann::json const& item, json_pointer const& location) {
                object_reader ref(item, location);
                section_ref read{ref.text("name"), ref.text("hash")};
                ref.finish();
                return read;
            });
        from.finish();
        return out;
    }
    catch (format_error const& error) {
        return fail("config.manifest", source + "#" + error.location.to_string(), error.message);
    }
}

} // namespace cove
