/**
 * @file config-bench: bytes, processor time and memory that an entry host spends on configuration.
 *
 * One reducer loads a full configuration from its bridge, then several generations that each change
 * one client block. Counts the bytes of the messages between the two and prints one JSON object.
 * SITES must be at least 22: change number N uses the site with index N + 1.
 */

#include "config/config_check.h"
#include "config/config_section.h"
#include "net/peer_codec.h"
#include "node/node.h"

#include <algorithm>
#include <ctime>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace {

using namespace cove;

constexpr int changes = 20; ///< single-block changes over which costs are averaged

/** @return processor time used by this thread. */
microseconds thread_time()
{
    timespec used{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
    return seconds(used.tv_sec) + microseconds(used.tv_nsec / 1000);
}

/** @return resident memory of this process in bytes. */
std::int64_t resident_bytes()
{
    std::ifstream statm("/proc/self/statm");
    std::int64_t total = 0;
    std::int64_t resident = 0;
    statm >> total >> resident;
    return resident * sysconf(_SC_PAGESIZE);
}

deployment make_deployment(int blocks, int sites)
{
    deployment out;
    out.name = "slopes";
    for (int i = 0; i < 88; ++i) {
        out.zones.push_back(
            {zone_id{"zone-" + std::to_string(i)}, region_id{"region-" + std::to_string(i % 23)}});
    }
    out.services = {{service_id{"desk"}, 6, 300, {{class_id{"read"}, true, 1, seconds(1)}}}};
    for (int i = 0; i < sites; ++i) {
        out.sites.push_back({site_id{"site-" + std::to_string(i)}, out.zones[i % 88].id});
    }
    std::vector<client_block> list;
    for (int i = 0; i < blocks; ++i) {
        list.push_back({"10." + std::to_string(i >> 16) + "." + std::to_string((i >> 8) & 255) +
                            "." + std::to_string(i & 255) + "/32",
                        out.sites[static_cast<std::size_t>(i) % out.sites.size()].id});
    }
    out.client_blocks = {{std::make_shared<std::vector<client_block> const>(std::move(list))}};
    normalize(out);
    return out;
}

/** Moves one client block to another site. */
void change_one_block(deployment& config, int round)
{
    auto& list =
        config.client_blocks[static_cast<std::size_t>(round) % config.client_blocks.size()];
    auto blocks = *list.blocks;
    blocks.at(0).site = config.sites[static_cast<std::size_t>(round) + 1].id;
    list.blocks = std::make_shared<std::vector<client_block> const>(std::move(blocks));
}

/** Cost of applying one configuration generation on an entry host. */
struct transfer_cost {
    std::size_t bytes_in = 0;
    std::size_t bytes_out = 0;
    microseconds processor{};
};

/** An entry host with a simulated bridge that sends it configuration. */
class host_under_test {
public:
    /** Transfers generation @p number to the node. @return its cost. */
    transfer_cost apply_generation(std::uint64_t number,
                                   std::vector<config_section> const& sections)
    {
        manifest_ = {generation{number}, "slopes", section_refs(sections)};
        sections_ = &sections;
        cost_ = {};
        queue_ = {config_offer{manifest_.number}};
        while (!queue_.empty()) {
            peer_message const message = std::move(queue_.back());
            queue_.pop_back();
            reduce_message(message);
        }
        return cost_;
    }

    [[nodiscard]] generation in_force() const { return node_.config_generation; }

private:
    void reduce_message(peer_message const& message)
    {
        std::string const bytes = encode_envelope({bridge_, incarnation_id{}, message});
        cost_.bytes_in += bytes.size();
        microseconds const begin = thread_time();
        node_effects const effects = reduce(node_, {now_, decode_envelope(bytes).value()});
        cost_.processor += thread_time() - begin;
        for (node_effect const& effect : effects) {
            auto const* send = std::get_if<send_peer>(&effect);
            if (send != nullptr && send->to == bridge_) {
                cost_.bytes_out +=
                    encode_envelope({node_.self.id, node_.self.incarnation, send->body}).size();
                serve_fetch(send->body);
            }
        }
    }

    /** Queues the manifest and sections that the node requests, as its bridge would. */
    void serve_fetch(peer_message const& message)
    {
        auto const* fetch = std::get_if<config_fetch>(&message);
        if (fetch == nullptr) {
            return;
        }
        if (fetch->manifest) {
            queue_.emplace_back(manifest_);
        }
        config_sections wanted;
        for (config_section const& section : *sections_) {
            if (std::ranges::find(fetch->hashes, section.ref.hash) != fetch->hashes.end()) {
                wanted.sections.push_back(section);
            }
        }
        if (!wanted.sections.empty()) {
            queue_.emplace_back(std::move(wanted));
        }
    }

    node_state node_ = make_node({node_id{"e"}, zone_id{"zone-0"}, incarnation_id{1}}, 1);
    node_id bridge_ = bridge_of(node_id{"e"});
    instant now_ = read_clocks();
    config_manifest manifest_;
    std::vector<config_section> const* sections_ = nullptr;
    std::vector<peer_message> queue_;
    transfer_cost cost_;
};

nlohmann::json measure(int blocks, int sites)
{
    deployment config = make_deployment(blocks, sites);
    std::vector<std::vector<config_section>> generations;
    microseconds split_time{};
    for (int round = 0; round <= changes; ++round) {
        microseconds const begin = thread_time();
        generations.push_back(split_sections(config).value());
        split_time += thread_time() - begin;
        change_one_block(config, round);
    }
    std::size_t full_bytes = 0;
    for (config_section const& section : generations[0]) {
        full_bytes += section.text->size();
    }
    std::int64_t const resident_before = resident_bytes();
    host_under_test host;
    transfer_cost const full = host.apply_generation(1, generations[0]);
    std::int64_t const resident_growth = resident_bytes() - resident_before;
    transfer_cost change;
    for (int round = 1; round <= changes; ++round) {
        transfer_cost const one = host.apply_generation(
            static_cast<std::uint64_t>(round) + 1, generations[static_cast<std::size_t>(round)]);
        change.bytes_in += one.bytes_in;
        change.bytes_out += one.bytes_out;
        change.processor += one.processor;
    }
    return {{"client_blocks", blocks},
            {"sites", sites},
            {"sections", generations[0].size()},
            {"section_bytes", full_bytes},
            {"split_us", split_time.count() / (changes + 1)},
            {"whole_bytes_in", full.bytes_in},
            {"whole_processor_us", full.processor.count()},
            {"resident_bytes", resident_growth},
            {"change_bytes_in", change.bytes_in / changes},
            {"change_bytes_out", change.bytes_out / changes},
            {"change_processor_us", change.processor.count() / changes},
            {"in_force", host.in_force().value}};
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 3) {
        std::cerr << "usage: config-bench BLOCKS SITES\n";
        return 2;
    }
    std::cout << measure(std::stoi(argv[1]), std::stoi(argv[2])).dump() << "\n";
    return 0;
}
