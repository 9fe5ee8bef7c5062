#include "deploy/layout.h"

#include "config/config_json.h"
#include "table/deployments.h"

#include <algorithm>
#include <fstream>

namespace cove {

namespace {

using json = nlohmann::json;

constexpr int percent = 100;

/** Writes the files of one deployment. */
class layout_writer {
public:
    explicit layout_writer(layout_options const& options, sample_deployment const& sample)
        : options_(options), sample_(sample), next_port_(options.base_port)
    {
        layout_.directory = options.directory;
        layout_.classes = json::array();
    }

    layout write()
    {
        write_config();
        for (sample_service const& service : sample_.services) {
            add_targets(service);
        }
        for (std::string_view const region : sample_.regions) {
            for (std::string_view const zone : sample_zone_names) {
                add_zone(std::string(region), zone_name(region, zone));
            }
        }
        write_json(
            "hosts",
            {{"version", 1}, {"entry_hosts", listed_entry_hosts_}, {"targets", listed_targets_}});
        return std::move(layout_);
    }

private:
    static std::string zone_name(std::string_view region, std::string_view zone)
    {
        return std::string(region) + "-" + std::string(zone);
    }

    std::string next_address() { return "127.0.0.1:" + std::to_string(next_port_++); }

    void write_json(std::string const& name, json const& content) const
    {
        std::ofstream(layout_.file(name, "json")) << content.dump(2) << "\n";
    }

    void write_config()
    {
        deployment config;
        config.name = sample_.name;
        for (std::string_view const region : sample_.regions) {
            config.regions.emplace_back(std::string(region));
            for (std::string_view const zone : sample_zone_names) {
                config.zones.push_back({zone_id{zone_name(region, zone)}, config.regions.back()});
            }
        }
        for (sample_service const& service : sample_.services) {
            config.services.push_back(make_service_config(service));
        }
        std::ofstream(layout_.file("config", "json")) << print_deployment(config);
    }

    service_config make_service_config(sample_service const& service)
    {
        service_config config{
            service_id{std::string(service.id)}, service.slots, service.connections, {}};
        for (sample_class const& item : service.classes) {
            config.classes.push_back(
                {class_id{std::string(item.id)}, item.idempotent, item.priority, item.deadline});
            layout_.classes.push_back({{"service", service.id},
                                       {"class", item.id},
                                       {"idempotent", item.idempotent},
                                       {"share", service.share * item.share},
                                       {"timeout_ms", item.deadline.count()}});
        }
        return config;
    }

    void add_targets(sample_service const& service)
    {
        int const zones = static_cast<int>(sample_.regions.size() * sample_zone_names.size());
        int const count = std::max(zones, service.targets * options_.target_percent / percent);
        for (int i = 0; i < count; ++i) {
            auto const zone = static_cast<std::size_t>(i % zones);
            std::string_view const region = sample_.regions.at(zone / sample_zone_names.size());
            add_target(service, std::string(service.id) + "-" + std::to_string(i + 1),
                       std::string(region),
                       zone_name(region, sample_zone_names.at(zone % sample_zone_names.size())));
        }
    }

    void add_target(sample_service const& service, std::string const& name,
                    std::string const& region, std::string const& zone)
    {
        std::string const address = next_address();
        write_json(name, {{"name", name},
                          {"address", address},
                          {"slots", service.slots},
                          {"connections", service.connections},
                          {"service_time_ms", options_.service_time.count()},
                          {"spread_percent", 50},
                          {"cold_requests", 50},
                          {"cold_percent", 300},
                          {"drain_grace_ms", options_.target_drain_grace.count()},
                          {"journal", layout_.file(name, "journal")}});
        listed_targets_.push_back({{"id", name},
                                   {"service", service.id},
                                   {"zone", zone},
                                   {"address", address},
                                   {"state", "live"}});
        layout_.processes.push_back({process_kind::target, name, "standin-target", zone, region,
                                     address, "", service.slots});
    }

    void add_zone(std::string const& region, std::string const& zone)
    {
        json publish_addresses = json::array();
        std::vector<layout_process> entries;
        for (int i = 1; i <= options_.entry_hosts_per_zone; ++i) {
            entries.push_back(add_entry_host(region, zone, i));
            publish_addresses.push_back(next_address());
            write_entry_settings(entries.back(), publish_addresses.back());
        }
        std::string const address = next_address();
        std::string const name = "lookup-" + zone;
        write_json(name, {{"name", name},
                          {"zone", zone},
                          {"caller_address", address},
                          {"entry_addresses", publish_addresses}});
        layout_.processes.push_back(
            {process_kind::lookup, name, "cove-lookup", zone, region, address, "", 0});
        layout_.processes.insert(layout_.processes.end(), entries.begin(), entries.end());
    }

    layout_process add_entry_host(std::string const& region, std::string const& zone, int number)
    {
        std::string const name = "entry-" + zone + "-" + std::to_string(number);
        layout_process entry{
            process_kind::entry, name, "cove-entry", zone, region, next_address(), "", 0};
        current_peer_address_ = next_address();
        std::string const advertised_peer_address =
            options_.links ? add_link(region, zone, name) : current_peer_address_;
        listed_entry_hosts_.push_back({{"id", name},
                                       {"zone", zone},
                                       {"caller_address", entry.address},
                                       {"peer_address", advertised_peer_address},
                                       {"state", "live"}});
        return entry;
    }

    void write_entry_settings(layout_process const& entry, json const& publish_address) const
    {
        write_json(entry.name, {{"node", entry.name},
                                {"zone", entry.zone},
                                {"caller_address", entry.address},
                                {"peer_address", current_peer_address_},
                                {"publish_address", publish_address},
                                {"config_file", layout_.file("config", "json")},
                                {"host_list_file", layout_.file("hosts", "json")}});
    }

    /** Adds a link to the peer address of entry host @p entry. @return the link's address. */
    std::string add_link(std::string const& region, std::string const& zone,
                         std::string const& entry)
    {
        std::string const address = next_address();
        std::string const admin = next_address();
        std::string const name = "link-" + entry;
        write_json(name, {{"name", name},
                          {"address", address},
                          {"to", current_peer_address_},
                          {"admin_address", admin},
                          {"delay_ms", 1},
                          {"jitter_ms", 2}});
        layout_.processes.push_back(
            {process_kind::link, name, "standin-link", zone, region, address, admin, 0});
        return address;
    }

    layout_options const& options_;
    sample_deployment const& sample_;
    int next_port_;
    std::string current_peer_address_; ///< of the entry host being written
    json listed_entry_hosts_ = json::array();
    json listed_targets_ = json::array();
    layout layout_;
};

} // namespace

std::string layout::file(std::string const& name, std::string const& extension) const
{
    return (directory / (name + "." + extension)).string();
}

result<layout> make_layout(layout_options const& options)
{
    auto const* const sample =
        std::ranges::find(sample_deployments, options.deployment, &sample_deployment::name);
    if (sample == sample_deployments.end()) {
        return fail("layout.make", options.deployment,
                    "unknown deployment; expected mreznik or fundusz");
    }
    std::error_code error;
    std::filesystem::create_directories(options.directory, error);
    if (error) {
        return fail("layout.make", options.directory.string(), error.message());
    }
    return layout_writer(options, *sample).write();
}

} // namespace cove
