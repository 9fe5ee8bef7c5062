#include "bridge/bridge_process.h"

#include "config/config_json.h"
#include "config/config_section.h"
#include "log/log_func.h"
#include "net/peer_codec.h"
#include "store/store_api.h"

namespace cove {

namespace {

constexpr int manifest_poll_factor = 10; ///< host list reads per manifest read in polling mode

/// In bytes. No section is added to a message that has reached this size, so a message can exceed
/// it by the last section.
constexpr std::size_t sections_message_soft_limit = 256U << 10U;

void log_store_error(store_error const& error)
{
    log_event("store_call_failed", {{"step", error.details.step},
                                    {"peer", error.details.peer},
                                    {"error", error.details.message}});
}

} // namespace

bridge_process::bridge_process(bridge_settings settings, std::uint64_t seed)
    : settings_(std::move(settings)),
      sections_client_(settings_.store_address, settings_.call_timeout),
      manifest_follower_(
          make_follower_options(store_api::manifest_object,
                                settings_.poll_interval * manifest_poll_factor, seed),
          [this](stored_object const& object) { handle_manifest(object); }, log_store_error),
      host_list_follower_(
          make_follower_options(store_api::host_list_object, settings_.poll_interval, seed + 1),
          [this](stored_object const& object) { handle_host_list(object); }, log_store_error),
      transport_({settings_.bridge_address, {}, [this](std::string const& bytes) {
                      handle_message(bytes);
                  }})
{
}

bridge_process::~bridge_process()
{
    manifest_follower_.stop();
    host_list_follower_.stop();
    sections_thread_.request_stop();
    if (sections_thread_.joinable()) {
        sections_thread_.join();
    }
}

follower_options bridge_process::make_follower_options(std::string object,
                                                       milliseconds poll_interval,
                                                       std::uint64_t seed) const
{
    return {settings_.store_address, std::move(object), settings_.call_timeout,
            settings_.watch_wait,    poll_interval,     seed};
}

result<void> bridge_process::start()
{
    if (auto const listening = transport_.start(); !listening) {
        return listening;
    }
    manifest_follower_.start();
    host_list_follower_.start();
    sections_thread_ =
        std::jthread([this](std::stop_token const& stop) { run_section_reader(stop); });
    return {};
}

void bridge_process::send(peer_message body)
{
    std::string const bytes =
        encode_envelope({bridge_of(node_id{settings_.node}), incarnation_id{}, std::move(body)});
    std::lock_guard const lock(send_mutex_);
    transport_.send(settings_.entry_address, bytes);
}

void bridge_process::handle_message(std::string const& bytes)
{
    auto const envelope = decode_envelope(bytes);
    if (!envelope) {
        log_event("peer_message_dropped", {{"error", to_string(envelope.error())}});
        return;
    }
    if (auto const* role = std::get_if<bridge_role>(&envelope->body)) {
        handle_role(*role);
    }
    else if (auto const* fetch = std::get_if<config_fetch>(&envelope->body)) {
        handle_fetch(*fetch);
    }
}

void bridge_process::handle_role(bridge_role const& role)
{
    manifest_follower_.set_watching(role.watch);
    host_list_follower_.set_watching(role.watch);
    std::unique_lock lock(mutex_);
    bool const newer_manifest = manifest_.number > role.number;
    generation const number = manifest_.number;
    std::string const hosts =
        host_list_version_ > role.host_list_version ? host_list_text_ : std::string();
    lock.unlock();
    if (newer_manifest) {
        send(config_offer{number});
    }
    if (!hosts.empty()) {
        send(bridge_host_list{hosts, nullptr});
    }
}

void bridge_process::handle_fetch(config_fetch const& fetch)
{
    std::unique_lock lock(mutex_);
    if (!fetch.hashes.empty()) {
        requested_hashes_.assign(fetch.hashes.begin(), fetch.hashes.end());
        hashes_requested_.notify_one();
    }
    config_manifest const manifest = manifest_;
    lock.unlock();
    if (fetch.manifest && manifest.number.value != 0) {
        send(manifest);
    }
}

void bridge_process::handle_manifest(stored_object const& object)
{
    auto manifest = parse_manifest(object.value, store_api::manifest_object);
    if (!manifest) {
        log_event("manifest_rejected", {{"error", to_string(manifest.error())}});
        return;
    }
    generation const number = manifest->number;
    {
        std::lock_guard const lock(mutex_);
        if (number <= manifest_.number) {
            return;
        }
        manifest_ = std::move(*manifest);
    }
    log_event("manifest_read", {{"generation", std::to_string(number.value)}});
    send(config_offer{number});
}

void bridge_process::handle_host_list(stored_object const& object)
{
    auto const hosts = parse_host_list(object.value, store_api::host_list_object);
    if (!hosts) {
        log_event("host_list_rejected", {{"error", to_string(hosts.error())}});
        return;
    }
    {
        std::lock_guard const lock(mutex_);
        if (hosts->version <= host_list_version_) {
            return;
        }
        host_list_version_ = hosts->version;
        host_list_text_ = object.value;
    }
    log_event("host_list_read", {{"version", std::to_string(hosts->version)}});
    send(bridge_host_list{object.value, nullptr});
}

void bridge_process::run_section_reader(std::stop_token const& stop)
{
    while (true) {
        std::deque<std::string> hashes;
        {
            std::unique_lock lock(mutex_);
            if (!hashes_requested_.wait(lock, stop,
                                        [this] { return !requested_hashes_.empty(); })) {
                return;
            }
            hashes.swap(requested_hashes_);
        }
        forward_sections(stop, hashes);
    }
}

void bridge_process::forward_sections(std::stop_token const& stop,
                                      std::deque<std::string> const& hashes)
{
    config_sections found;
    std::size_t bytes = 0;
    for (std::string const& hash : hashes) {
        auto object = sections_client_.read(store_api::section_prefix + hash);
        if (!object) {
            log_store_error(object.error());
            break;
        }
        bytes += object->value.size();
        found.sections.push_back({{"", hash}, make_payload(std::move(object->value))});
        if (bytes >= sections_message_soft_limit || stop.stop_requested()) {
            break;
        }
    }
    if (!found.sections.empty()) {
        send(std::move(found));
    }
}

} // namespace cove
