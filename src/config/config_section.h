#pragma once
/** @file Splitting a configuration into sections, and joining them again. */

#include "config/config_section_type.h"
#include "config/deployment_type.h"
#include "core/error.h"

namespace cove {

inline constexpr std::size_t max_section_bytes = 1'000'000; ///< largest value the platform stores

/** @return the sections of a normalized @p config; fails if one exceeds max_section_bytes. */
result<std::vector<config_section>> split_sections(deployment const& config);

/** @return name and hash of each section. */
std::vector<section_ref> section_refs(std::vector<config_section> const& sections);

/** @return the configuration merged from @p fragments; shares, not copies, client blocks. */
deployment merge_fragments(std::vector<std::shared_ptr<deployment const>> const& fragments);

/** @return the configuration in @p sections, checked. @param source named in errors. */
result<deployment> join_sections(std::vector<config_section> const& sections,
                                 std::string const& source);

/** @return @p manifest as JSON text. */
std::string print_manifest(config_manifest const& manifest);

/** @return the manifest in @p text. @param source named in errors. */
result<config_manifest> parse_manifest(std::string_view text, std::string const& source);

/** @return one human-readable line for each part of the configuration that differs. */
std::vector<std::string> diff_deployments(deployment const& before, deployment const& after);

} // namespace cove
