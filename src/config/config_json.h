#pragma once
/** @file JSON encoding of the configuration and the host list; see docs/configuration.md. */

#include "config/deployment_type.h"
#include "core/error.h"
#include "membership/host_list_type.h"

#include <nlohmann/json_fwd.hpp>
#include <string_view>

namespace cove {

/**
 * Reads a whole configuration and checks it.
 * @param text JSON text.
 * @param source named in errors, with the JSON pointer to the value at fault.
 * @return the configuration, normalized.
 */
result<deployment> parse_deployment(std::string_view text, std::string const& source);

/**
 * Reads a part of a configuration, with any of its keys; does no checks across keys.
 * @param text JSON text.
 * @param source named in errors.
 */
result<deployment> parse_fragment(std::string_view text, std::string const& source);

/** @return @p config as JSON, with its keys in the documented order. */
nlohmann::ordered_json to_json(deployment const& config);

/** @return @p config as indented JSON text, which parse_deployment() accepts. */
std::string print_deployment(deployment const& config);

/** Reads a host list. @param text JSON text. @param source named in errors. */
result<host_list> parse_host_list(std::string_view text, std::string const& source);

} // namespace cove
