#pragma once
/** @file Clients that send a given stream of bytes, many at once. */

#include "core/time_type.h"

#include <functional>
#include <string>

namespace cove {

/** What each client of a crowd does. */
struct crowd_plan {
    std::size_t clients = 1;
    std::string head;                      ///< sent first
    std::string repeated;                  ///< sent over and over after it
    std::size_t bytes = 0;                 ///< of the repeated part
    std::string tail;                      ///< sent last
    std::size_t piece = 64 << 10;          ///< bytes of one write at most
    bool reads = true;                     ///< whether responses are read
    milliseconds time{6000};               ///< after which the crowd ends in any case
    milliseconds hold{1000};               ///< for which connections stay open after all was sent
    milliseconds pause{0};                 ///< between two writes of a client
    std::function<bool()> until = nullptr; ///< ends the crowd early; may be empty
};

/**
 * Connects all clients to 127.0.0.1, sends and disconnects; a client that the host disconnects is
 * not replaced.
 * @param watch called about every 20 ms.
 */
void run_crowd(int port, crowd_plan const& plan, std::function<void()> const& watch);

} // namespace cove
