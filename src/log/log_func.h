#pragma once
/** @file Structured log: one line of key=value pairs per event. */

#include <string>
#include <utility>
#include <vector>

namespace cove {

using log_fields = std::vector<std::pair<std::string, std::string>>;

/**
 * Configures logging to standard output. Call once in main().
 * @param program written to each line.
 * @param name of this instance, written to each line.
 */
void start_log(std::string const& program, std::string const& name);

/** Writes one line. @param event name of the event. @param fields its key-value pairs. */
void log_event(std::string const& event, log_fields const& fields = {});

} // namespace cove
