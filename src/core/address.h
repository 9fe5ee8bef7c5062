#pragma once
/** @file Parsing of IP:port addresses. */

#include "core/error.h"

#include <string>
#include <string_view>

namespace cove {

/** An IP address and a port. */
struct address {
    std::string ip;
    int port = 0;
};

/** @return whether @p text is an IPv4 or IPv6 address, as opposed to a name or a pattern. */
bool is_ip_address(std::string const& text);

/** Parses IP:port; an IPv6 address may be in brackets. @return the address or the error. */
result<address> parse_address(std::string_view text);

} // namespace cove
