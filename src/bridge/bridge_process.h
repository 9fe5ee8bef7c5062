#pragma once
/** @file Forwards configuration and host list from the object store to one entry host. */

#include "bridge/bridge_settings.h"
#include "config/config_section_type.h"
#include "membership/host_list_type.h"
#include "net/peer_transport.h"
#include "node/peer_message.h"
#include "store/object_follower.h"

#include <deque>

namespace cove {

/**
 * The process of cove-bridge. It exchanges configuration with its entry process by the messages
 * that entry hosts use among themselves: it offers the newest generation of the store and answers
 * requests for the manifest and for sections. It keeps no persistent state.
 */
class bridge_process {
public:
    /** @param seed of the jitter of the retry backoff. */
    bridge_process(bridge_settings settings, std::uint64_t seed);
    ~bridge_process();
    bridge_process(bridge_process const&) = delete;
    bridge_process& operator=(bridge_process const&) = delete;
    bridge_process(bridge_process&&) = delete;
    bridge_process& operator=(bridge_process&&) = delete;

    /** Starts to listen for the entry process and to follow the store. */
    result<void> start();

private:
    void handle_message(std::string const& bytes);
    void handle_role(bridge_role const& role);
    void handle_fetch(config_fetch const& fetch);
    void handle_manifest(stored_object const& object);
    void handle_host_list(stored_object const& object);
    void send(peer_message body);
    void run_section_reader(std::stop_token const& stop);
    void forward_sections(std::stop_token const& stop, std::deque<std::string> const& hashes);
    [[nodiscard]] follower_options
    make_follower_options(std::string object, milliseconds poll_interval, std::uint64_t seed) const;

    bridge_settings settings_;
    std::mutex send_mutex_;
    std::mutex mutex_;
    std::condition_variable_any hashes_requested_;
    std::deque<std::string> requested_hashes_; ///< hashes of the last request for sections
    config_manifest manifest_;                 ///< newest manifest read from the store
    std::uint64_t host_list_version_ = 0;
    std::string host_list_text_;
    object_client sections_client_;
    object_follower manifest_follower_;
    object_follower host_list_follower_;
    peer_transport transport_; ///< destroyed before the followers, because its thread uses them
    std::jthread sections_thread_;
};

} // namespace cove
