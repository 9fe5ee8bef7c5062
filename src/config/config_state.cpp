#include "config/config_state.h"

#include "config/config_json.h"
#include "config/config_section.h"
#include "core/hash_func.h"
#include "core/invariant.h"
#include "node/node_view.h"

#include <algorithm>

namespace cove {

namespace {

constexpr milliseconds exchange_interval{1000}; ///< between offers to a random peer
constexpr milliseconds fetch_timeout{1000};  ///< without progress, until another source is accepted
constexpr std::size_t offers_per_change = 4; ///< peers that a new generation is offered to
/** One in this many exchanges, on average, chooses its zone among all zones. */
constexpr std::uint64_t exchanges_per_cross_zone_offer = 4;
constexpr std::size_t watchers_per_zone = 2; ///< members whose bridges watch the platform
constexpr std::size_t sections_message_bytes = 256U << 10U; ///< size from which no more are added

void log(node_effects& effects, std::string event, generation number, std::string error = {})
{
    log_line line{std::move(event), {{"generation", std::to_string(number.value)}}};
    if (!error.empty()) {
        line.fields.emplace_back("error", std::move(error));
    }
    effects.emplace_back(std::move(line));
}

bool should_fetch(config_state const& state, node_view const& view, generation number)
{
    if (view.disabled.generation_order) {
        return number != state.manifest.number && number.value != 0;
    }
    return number > state.manifest.number && number > state.rejected;
}

/** @return the other live members of @p zone, or all its other members if none is live. */
std::vector<node_id> peers_of_zone(node_view const& view, zone_id const& zone)
{
    auto peers = live_members(view.members, zone, view.now.mono);
    std::erase(peers, view.self.id);
    if (!peers.empty()) {
        return peers;
    }
    for (auto const& [id, peer] : view.members.members) {
        if (peer.host.zone == zone && id != view.self.id) {
            peers.push_back(id);
        }
    }
    return peers;
}

/** Offers the generation in force to up to @p count random peers of @p zone. */
void offer_to(config_state const& state, node_view const& view, zone_id const& zone,
              std::size_t count, node_effects& effects)
{
    auto peers = peers_of_zone(view, zone);
    for (std::size_t i = 0; i < count && !peers.empty(); ++i) {
        auto const chosen =
            peers.begin() + static_cast<std::ptrdiff_t>(random_below(view.random, peers.size()));
        send_to(view, effects, *chosen, config_offer{state.manifest.number});
        peers.erase(chosen);
    }
}

std::vector<std::string> missing_hashes(config_state const& state, config_transfer const& transfer)
{
    std::vector<std::string> missing;
    for (section_ref const& ref : transfer.manifest->sections) {
        if (!state.sections.contains(ref.hash) && !transfer.fetched.contains(ref.hash)) {
            missing.push_back(ref.hash);
        }
    }
    return missing;
}

void reject(config_state& state, step_error const& error, node_effects& effects)
{
    generation const number = state.transfer->number;
    state.rejected = std::max(state.rejected, number);
    state.transfer.reset();
    log(effects, "config_rejected", number, to_string(error));
}

void replace_manifest(config_state& state, config_manifest next)
{
    require_invariant(state.config == nullptr || next.number > state.manifest.number,
                      "the generation in force never decreases");
    state.manifest = std::move(next);
}

/** Puts the transferred generation in force. All of its sections must be available. */
void install(config_state& state, node_view const& view, node_effects& effects)
{
    config_transfer transfer = std::move(*state.transfer);
    state.transfer.reset();
    std::map<std::string, loaded_section> sections;
    std::vector<std::shared_ptr<deployment const>> contents;
    for (section_ref const& ref : transfer.manifest->sections) {
        auto const fetched = transfer.fetched.find(ref.hash);
        loaded_section const& loaded =
            fetched != transfer.fetched.end() ? fetched->second : state.sections.at(ref.hash);
        contents.push_back(loaded.content);
        sections.emplace(ref.hash, loaded);
    }
    replace_manifest(state, std::move(*transfer.manifest));
    state.sections = std::move(sections);
    state.config = std::make_shared<deployment const>(merge_fragments(contents));
    log(effects, "config_in_force", state.manifest.number);
    offer_to(state, view, view.self.zone, offers_per_change, effects);
}

/** Fetches the sections that are still missing, or installs the generation if none is. */
void continue_transfer(config_state& state, node_view const& view, node_id const& from,
                       node_effects& effects)
{
    auto missing = missing_hashes(state, *state.transfer);
    if (missing.empty()) {
        install(state, view, effects);
        return;
    }
    state.transfer->source = from;
    state.transfer->give_up_at = view.now.mono + fetch_timeout;
    send_to(view, effects, from, config_fetch{false, std::move(missing)});
}

/** Parses a fetched section and adds it to the transfer, unless it is not needed. */
result<void> load_section(config_transfer& transfer, config_section const& section)
{
    std::string const hash = content_hash(bytes_of(section.text));
    auto const wanted = std::ranges::find(transfer.manifest->sections, hash, &section_ref::hash);
    if (wanted == transfer.manifest->sections.end() || transfer.fetched.contains(hash)) {
        return {};
    }
    auto content = parse_fragment(bytes_of(section.text), wanted->name);
    if (!content) {
        return tl::make_unexpected(content.error());
    }
    transfer.fetched.emplace(
        hash, loaded_section{{*wanted, section.text},
                             std::make_shared<deployment const>(std::move(*content))});
    return {};
}

void send_bridge_role(config_state const& state, node_view const& view, node_effects& effects)
{
    auto const live = live_members(view.members, view.self.zone, view.now.mono);
    auto const rank = std::ranges::find(live, view.self.id) - live.begin();
    bool const watch = static_cast<std::size_t>(rank) < watchers_per_zone;
    send_to(view, effects, bridge_of(view.self.id),
            bridge_role{watch, state.manifest.number, view.members.list_version});
}

/** @return the zone to pick the peer of the next exchange from. */
zone_id choose_exchange_zone(config_state const& state, node_view const& view)
{
    bool const alone = peers_of_zone(view, view.self.zone).empty();
    if (state.config == nullptr || state.config->zones.empty() ||
        (!alone && random_below(view.random, exchanges_per_cross_zone_offer) != 0)) {
        return view.self.zone;
    }
    return state.config->zones[random_below(view.random, state.config->zones.size())].id;
}

} // namespace

void on_config_changed(config_state& state, node_view const& view, generation number,
                       std::shared_ptr<deployment const> const& config, node_effects& effects)
{
    bool const newer = view.disabled.generation_order ? number != state.manifest.number
                                                      : number > state.manifest.number;
    if (state.config != nullptr && !newer) {
        return;
    }
    auto const sections = split_sections(*config);
    replace_manifest(state, {number, "local", {}});
    if (state.transfer && !should_fetch(state, view, state.transfer->number)) {
        state.transfer.reset();
    }
    state.sections.clear();
    state.config = config;
    if (sections) {
        state.manifest.sections = section_refs(*sections);
        for (config_section const& section : *sections) {
            auto content = parse_fragment(*section.text, section.ref.name);
            if (content) {
                state.sections.emplace(section.ref.hash,
                                       loaded_section{section, std::make_shared<deployment const>(
                                                                   std::move(*content))});
            }
        }
    }
    log(effects, "config_in_force", number);
    offer_to(state, view, view.self.zone, offers_per_change, effects);
}

void on_config_offer(config_state& state, node_view const& view, node_id const& from,
                     config_offer const& offer, node_effects& effects)
{
    if (!should_fetch(state, view, offer.number)) {
        if (offer.number < state.manifest.number) {
            send_to(view, effects, from, config_offer{state.manifest.number});
        }
        return;
    }
    if (state.transfer && view.now.mono < state.transfer->give_up_at) {
        return;
    }
    config_transfer next{offer.number, from, view.now.mono + fetch_timeout, std::nullopt, {}};
    if (state.transfer) {
        next.fetched = std::move(state.transfer->fetched);
    }
    state.transfer = std::move(next);
    send_to(view, effects, from, config_fetch{true, {}});
}

void on_config_fetch(config_state const& state, node_view const& view, node_id const& from,
                     config_fetch const& fetch, node_effects& effects)
{
    if (fetch.manifest && state.manifest.number.value != 0) {
        send_to(view, effects, from, state.manifest);
    }
    config_sections answer;
    std::size_t bytes = 0;
    for (std::string const& hash : fetch.hashes) {
        auto const found = state.sections.find(hash);
        if (found != state.sections.end() && bytes < sections_message_bytes) {
            bytes += bytes_of(found->second.section.text).size();
            answer.sections.push_back(found->second.section);
        }
    }
    if (!answer.sections.empty()) {
        send_to(view, effects, from, std::move(answer));
    }
}

void on_config_manifest(config_state& state, node_view const& view, node_id const& from,
                        config_manifest const& manifest, node_effects& effects)
{
    if (!should_fetch(state, view, manifest.number)) {
        return;
    }
    if (!state.transfer) {
        state.transfer.emplace();
    }
    if (state.transfer->manifest && manifest.number <= state.transfer->manifest->number) {
        return;
    }
    state.transfer->number = manifest.number;
    state.transfer->manifest = manifest;
    continue_transfer(state, view, from, effects);
}

void on_config_sections(config_state& state, node_view const& view, node_id const& from,
                        config_sections const& message, node_effects& effects)
{
    if (!state.transfer || !state.transfer->manifest) {
        return;
    }
    std::size_t const before = state.transfer->fetched.size();
    for (config_section const& section : message.sections) {
        if (auto const loaded = load_section(*state.transfer, section); !loaded) {
            reject(state, loaded.error(), effects);
            return;
        }
    }
    if (state.transfer->fetched.size() > before) {
        continue_transfer(state, view, from, effects);
    }
}

void on_config_wake(config_state& state, node_view const& view, node_effects& effects)
{
    if (view.now.mono < state.next_exchange) {
        return;
    }
    auto const spread = static_cast<std::uint64_t>(microseconds(exchange_interval).count()) / 4;
    state.next_exchange =
        view.now.mono + exchange_interval +
        microseconds(static_cast<std::int64_t>(random_below(view.random, spread)));
    if (!view.disabled.config_exchange) {
        offer_to(state, view, choose_exchange_zone(state, view), 1, effects);
    }
    send_bridge_role(state, view, effects);
}

mono_time next_config_wake(config_state const& state)
{
    return state.next_exchange;
}

} // namespace cove
