#pragma once
/** @file Spreads one large message to many hosts without loading the link of any of them. */

#include <cstddef>
#include <string>
#include <vector>

namespace cove {

/** A receiver of a message, and the hosts to which it passes the message on. */
struct relay_branch {
    std::string receiver;              ///< IP
    std::vector<std::string> relay_to; ///< IPs
};

/// Copies of a large message that one host sends. With 4, a message reaches 84 hosts in 3 steps.
inline constexpr std::size_t relay_fanout = 4;

/**
 * Divides @p receivers among at most @p fanout branches of about equal size. Each receiver divides
 * its part in the same way, so that every host sends at most @p fanout copies, and the number of
 * steps grows with the logarithm of the number of hosts. If a receiver fails, the hosts behind it
 * notice that they lag and pull.
 */
std::vector<relay_branch> divide_for_relay(std::vector<std::string> const& receivers,
                                           std::size_t fanout = relay_fanout);

} // namespace cove
