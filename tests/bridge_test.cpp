#include "bridge/bridge_process.h"
#include "config/config_section.h"
#include "config/sample.h"
#include "local_store.h"
#include "net/peer_codec.h"
#include "store/store_api.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace {

using namespace cove;

std::string next_address()
{
    return "127.0.0.1:" + std::to_string(next_test_port());
}

TEST(bridge, settings_errors_name_the_setting)
{
    auto const parsed = bridge_settings_table().parse(
        R"({"node":"e","bridge_address":"127.0.0.1:1","entry_address":"here"})", "file");
    ASSERT_FALSE(parsed);
    EXPECT_EQ(parsed.error().peer, "file#/entry_address");
}

/** Stands in for the entry process and records the messages that the bridge sends to it. */
struct recording_entry {
    std::mutex mutex;
    std::condition_variable arrived;
    std::vector<peer_message> received;
    std::string address;
    std::unique_ptr<peer_transport> transport;

    recording_entry()
    {
        do {
            address = next_address();
            transport = std::make_unique<peer_transport>(peer_transport_options{
                address, {}, [this](std::string const& bytes) { record(bytes); }});
        } while (!transport->start());
    }

    void record(std::string const& bytes)
    {
        auto envelope = decode_envelope(bytes);
        std::lock_guard const lock(mutex);
        received.push_back(std::move(envelope.value().body));
        arrived.notify_all();
    }

    /** Waits up to 10 s for a message for which @p accept is true. @return whether it arrived. */
    template <class Message>
    bool receives(std::function<bool(Message const&)> const& accept)
    {
        std::unique_lock lock(mutex);
        return arrived.wait_for(lock, seconds(10), [&] {
            for (peer_message const& message : received) {
                auto const* found = std::get_if<Message>(&message);
                if (found != nullptr && accept(*found)) {
                    return true;
                }
            }
            return false;
        });
    }
};

struct bridge_fixture : testing::Test {
    local_store local;
    recording_entry entry;
    std::string bridge_address;
    std::unique_ptr<bridge_process> bridge;

    void start_bridge()
    {
        do {
            bridge_address = next_address();
            bridge = std::make_unique<bridge_process>(
                bridge_settings{"e", bridge_address, entry.address, local.address(),
                                milliseconds(500), milliseconds(500), milliseconds(60'000)},
                1);
        } while (!bridge->start());
    }

    void send_to_bridge(peer_message body)
    {
        entry.transport->send(bridge_address,
                              encode_envelope({node_id{"e"}, incarnation_id{1}, std::move(body)}));
    }

    bool receives_offer(std::uint64_t number)
    {
        return entry.receives<config_offer>(
            [&](config_offer const& offer) { return offer.number.value == number; });
    }

    std::vector<config_section> put_generation(std::uint64_t number)
    {
        auto sections = split_sections(sample_deployment()).value();
        for (config_section const& section : sections) {
            local.store.put(store_api::section_prefix + section.ref.hash, *section.text);
        }
        local.store.put(store_api::manifest_object,
                        print_manifest({generation{number}, "s", section_refs(sections)}));
        return sections;
    }
};

TEST_F(bridge_fixture, forwards_manifest_sections_and_host_list)
{
    local.store.put(store_api::host_list_object, R"({"version":3,"entry_hosts":[],"targets":[]})");
    auto const sections = put_generation(1);
    start_bridge();
    EXPECT_TRUE(receives_offer(1));
    EXPECT_TRUE(entry.receives<bridge_host_list>(
        [](bridge_host_list const& list) { return list.hosts->version == 3; }));
    send_to_bridge(config_fetch{true, {sections[0].ref.hash}});
    EXPECT_TRUE(entry.receives<config_manifest>(
        [](config_manifest const& manifest) { return manifest.number.value == 1; }));
    EXPECT_TRUE(entry.receives<config_sections>([&](config_sections const& message) {
        return *message.sections.at(0).text == *sections[0].text;
    }));
}

TEST_F(bridge_fixture, watches_the_store_only_in_the_watching_role)
{
    put_generation(1);
    start_bridge();
    EXPECT_TRUE(receives_offer(1));
    EXPECT_EQ(local.store.calls().watches, 0U);
    send_to_bridge(bridge_role{true, generation{1}, 0});
    put_generation(2);
    EXPECT_TRUE(receives_offer(2));
    EXPECT_GT(local.store.calls().watches, 0U);
}

TEST_F(bridge_fixture, starts_during_an_outage_and_ignores_stale_reads)
{
    put_generation(7);
    put_generation(8);
    local.stop();
    start_bridge();
    send_to_bridge(bridge_role{true, generation{0}, 0});
    ASSERT_TRUE(local.start());
    EXPECT_TRUE(receives_offer(8));
    local.store.set_faults({.stale_reads = true});
    send_to_bridge(bridge_role{true, generation{7}, 0});
    local.store.set_faults({});
    put_generation(9);
    EXPECT_TRUE(receives_offer(9));
    std::lock_guard const lock(entry.mutex);
    EXPECT_FALSE(std::ranges::any_of(entry.received, [](peer_message const& message) {
        auto const* offer = std::get_if<config_offer>(&message);
        return offer != nullptr && offer->number.value == 7;
    }));
}

} // namespace
