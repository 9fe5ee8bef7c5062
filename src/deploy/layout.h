#pragma once
/** @file Writes the settings files of a sample deployment that runs on one machine. */

#include "core/error.h"
#include "core/time_type.h"

#include <filesystem>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace cove {

/** Which sample deployment to write, and how. */
struct layout_options {
    std::string deployment; ///< a name of sample_deployments
    std::filesystem::path directory;
    int base_port = 0; ///< first of the consecutive ports that the processes listen on
    int entry_hosts_per_zone = 2;
    int target_percent = 100; ///< share of the deployment's targets to start; at least one per zone
    bool links = false;       ///< connect to each entry host's peer address through a standin-link
    milliseconds service_time{20}; ///< of every target
    milliseconds target_drain_grace{3000};
};

enum class process_kind { target, entry, lookup, link };

/** One process of the deployment. */
struct layout_process {
    process_kind kind = process_kind::target;
    std::string name;
    std::string program;
    std::string zone;
    std::string region;
    std::string address;       ///< where callers or entry hosts connect
    std::string admin_address; ///< where a link accepts faults; empty otherwise
    int slots = 0;             ///< of a target
};

/** A deployment whose settings files have been written. */
struct layout {
    std::filesystem::path directory;
    std::vector<layout_process> processes; ///< in start order
    nlohmann::json classes;                ///< for the load tool's settings

    /** @return the path of the file @p name with extension @p extension. */
    [[nodiscard]] std::string file(std::string const& name, std::string const& extension) const;
};

/** Writes all settings files. @return the layout, or why they could not be written. */
result<layout> make_layout(layout_options const& options);

} // namespace cove
