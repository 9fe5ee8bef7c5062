#pragma once
/**
 * @file The configuration in force on a node, and its distribution.
 *
 * A node that is offered a higher generation fetches the manifest and the sections that it lacks
 * from the sender of the offer: a peer or its own bridge. It then offers the generation to a few
 * peers of its zone. It also offers the generation in force to one random peer periodically. Every
 * message that carries content answers a fetch, so each node receives a change only once.
 */

#include "config/config_message.h"
#include "config/deployment_type.h"
#include "node/node_effect.h"

#include <map>

namespace cove {

struct node_view;

/** A section and its parsed content. */
struct loaded_section {
    config_section section;
    std::shared_ptr<deployment const> content;
};

/** A higher generation that is being fetched. */
struct config_transfer {
    generation number;      ///< the generation offered
    node_id source;         ///< peer or bridge that it is fetched from
    mono_time give_up_at{}; ///< when an offer of another source is accepted
    std::optional<config_manifest> manifest;
    std::map<std::string, loaded_section> fetched; ///< by hash
};

/** The configuration in force and the one being fetched. */
struct config_state {
    config_manifest manifest; ///< in force; number 0 when none is
    std::shared_ptr<deployment const> config;
    std::map<std::string, loaded_section> sections; ///< in force, by hash
    std::optional<config_transfer> transfer;
    generation rejected; ///< highest generation whose content could not be used
    mono_time next_exchange{};
};

/** Puts a local configuration in force, unless the same or a higher generation is already. */
void on_config_changed(config_state& state, node_view const& view, generation number,
                       std::shared_ptr<deployment const> const& config, node_effects& effects);

void on_config_offer(config_state& state, node_view const& view, node_id const& from,
                     config_offer const& offer, node_effects& effects);
void on_config_fetch(config_state const& state, node_view const& view, node_id const& from,
                     config_fetch const& fetch, node_effects& effects);
void on_config_manifest(config_state& state, node_view const& view, node_id const& from,
                        config_manifest const& manifest, node_effects& effects);
void on_config_sections(config_state& state, node_view const& view, node_id const& from,
                        config_sections const& message, node_effects& effects);

/** When due, offers the generation in force to a random peer and sends the bridge its role. */
void on_config_wake(config_state& state, node_view const& view, node_effects& effects);

/** @return when on_config_wake() must be called next. */
mono_time next_config_wake(config_state const& state);

} // namespace cove
