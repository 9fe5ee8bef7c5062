#pragma once
/** @file The bridge: passes the configuration and the host list from the platform to its host. */

#include "bridge/bridge_settings.h"
#include "config/config_section_type.h"
#include "membership/host_list_type.h"
#include "net/peer_transport.h"
#include "node/peer_message.h"
#include "store/object_follower.h"

#include <deque>

namespace cove {

/**
 * One bridge. It answers its entry process as a peer would: it offers the generation that the
 * platform has, and reads the sections that are asked for. It holds nothing that must last.
 */
class bridge_process {
public:
    /** @param settings who it is. @param seed of the spread of waits. */
    bridge_process(bridge_settings settings, std::uint64_t seed);
    ~bridge_process();
    bridge_process(bridge_process const&) = delete;
    bridge_process& operator=(bridge_process const&) = delete;
    bridge_process(bridge_process&&) = delete;
    bridge_process& operator=(bridge_process&&) = delete;

    /** Starts to listen to the entry process. @return why it could not, if so. */
    result<void> start();

private:
    void receive(std::string const& bytes);
    void take_role(bridge_role const& role);
    void take_fetch(config_fetch const& fetch);
    void take_manifest(stored_object const& object);
    void take_host_list(stored_object const& object);
    void send(peer_message body);
    void read_sections(std::stop_token const& stop);
    void pass_on_sections(std::stop_token const& stop, std::deque<std::string> const& hashes);
    [[nodiscard]] follower_options follow(std::string object, milliseconds poll_interval,
                                          std::uint64_t seed) const;

    bridge_settings settings_;
    std::mutex send_mutex_;
    std::mutex mutex_;
    std::condition_variable_any wanted_changed_;
    std::deque<std::string> wanted_; ///< hashes that the entry process asked for last
    config_manifest manifest_;       ///< newest that the platform showed
    std::uint64_t host_list_version_ = 0;
    std::string host_list_text_;
    object_client sections_client_;
    object_follower manifest_follower_;
    object_follower host_list_follower_;
    peer_transport transport_; ///< its thread calls the followers, so it ends before them
    std::jthread sections_thread_;
};

} // namespace cove
