#include "lookup/lookup_answer.h"

#include "core/hash_func.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>

namespace cove {

namespace {

/** Mixes two hashes into one with independent bits. */
std::uint64_t mix(std::uint64_t a, std::uint64_t b)
{
    std::uint64_t x = a ^ (b * 0x9e3779b97f4a7c15U);
    x = (x ^ (x >> 30U)) * 0xbf58476d1ce4e5b9U;
    x = (x ^ (x >> 27U)) * 0x94d049bb133111ebU;
    return x ^ (x >> 31U);
}

/** Score of weighted rendezvous hashing: the highest score wins. */
double score(double weight, std::uint64_t hash)
{
    constexpr double hash_range = 18446744073709551616.0;
    double const uniform = (static_cast<double>(hash) + 1) / (hash_range + 1);
    return weight <= 0 ? -1 : -weight / std::log(uniform);
}

std::string hex_text(std::uint64_t value)
{
    constexpr int hex_base = 16;
    std::array<char, 16> buffer{};
    auto const end =
        std::to_chars(buffer.data(), buffer.data() + buffer.size(), value, hex_base).ptr;
    return {buffer.data(), end};
}

std::string entry_json(lookup_entry const& entry)
{
    return nlohmann::json{{"node", entry.node.value},
                          {"zone", entry.zone.value},
                          {"address", entry.address},
                          {"incarnation", hex_text(entry.incarnation.value)},
                          {"period", entry.period.value}}
        .dump();
}

/** Appends the @p count entries of @p zone with the highest scores for @p caller_hash to @p out. */
void add_highest_scored(prepared_zone const& zone, std::uint64_t caller_hash, std::size_t count,
                        std::vector<prepared_entry const*>& out)
{
    std::vector<std::pair<double, prepared_entry const*>> scored;
    scored.reserve(zone.entries.size());
    for (prepared_entry const& entry : zone.entries) {
        scored.emplace_back(score(entry.weight, mix(caller_hash, entry.hash)), &entry);
    }
    auto const last = scored.begin() + static_cast<std::ptrdiff_t>(std::min(count, scored.size()));
    std::partial_sort(scored.begin(), last, scored.end(), std::greater<>());
    for (auto item = scored.begin(); item != last; ++item) {
        out.push_back(item->second);
    }
}

} // namespace

prepared_lookup::prepared_lookup(lookup_snapshot const& snapshot, zone_id const& own_zone)
    : prefix_(R"({"lifetime_s":)" + std::to_string(snapshot.lifetime.count()) +
              R"(,"entry_hosts":[)")
{
    std::map<zone_id, prepared_zone> zones;
    for (lookup_entry const& entry : snapshot.entries) {
        prepared_zone& zone = zones[entry.zone];
        zone.id = entry.zone;
        zone.hash = stable_hash(entry.zone.value);
        zone.entries.push_back(
            {entry.node, stable_hash(entry.node.value), entry.weight, entry_json(entry)});
    }
    std::map<zone_id, std::size_t> index;
    for (auto& [id, zone] : zones) {
        index[id] = zones_.size();
        zones_.push_back(std::move(zone));
    }
    if (auto const own = index.find(own_zone); own != index.end()) {
        own_zone_ = own->second;
    }
    for (zone_share const& share : snapshot.shares) {
        if (auto const zone = index.find(share.zone); zone != index.end()) {
            shares_[share.service].push_back({zone->second, share.share});
        }
    }
}

std::size_t prepared_lookup::first_zone(service_id const& service, std::uint64_t caller_hash) const
{
    if (!own_zone_) {
        return caller_hash % zones_.size();
    }
    auto const shares = shares_.find(service);
    if (shares == shares_.end()) {
        return *own_zone_;
    }
    double own_share = 1;
    std::size_t best = *own_zone_;
    double best_score = -1;
    for (prepared_share const& share : shares->second) {
        own_share -= share.share;
        double const s = score(share.share, mix(caller_hash, zones_[share.zone].hash));
        if (s > best_score) {
            best = share.zone;
            best_score = s;
        }
    }
    return score(own_share, mix(caller_hash, zones_[*own_zone_].hash)) > best_score ? *own_zone_
                                                                                    : best;
}

std::vector<prepared_entry const*> prepared_lookup::order(service_id const& service,
                                                          std::string_view caller) const
{
    std::vector<prepared_entry const*> hosts;
    if (zones_.empty()) {
        return hosts;
    }
    std::uint64_t const caller_hash = stable_hash(caller);
    std::size_t const first = first_zone(service, caller_hash);
    add_highest_scored(zones_[first], caller_hash, first_zone_hosts_per_answer, hosts);
    std::size_t const start = mix(caller_hash, zones_[first].hash) % zones_.size();
    for (std::size_t i = 0; i < zones_.size() && hosts.size() < hosts_per_answer; ++i) {
        std::size_t const zone = (start + i) % zones_.size();
        if (zone != first) {
            add_highest_scored(zones_[zone], caller_hash, 1, hosts);
        }
    }
    return hosts;
}

std::string prepared_lookup::answer(service_id const& service, std::string_view caller) const
{
    std::string text = prefix_;
    for (prepared_entry const* entry : order(service, caller)) {
        text += entry->json;
        text += ',';
    }
    if (text.back() == ',') {
        text.pop_back();
    }
    return text + "]}";
}

} // namespace cove
