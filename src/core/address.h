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

/** Parses IP:port; an IPv6 address may be in brackets. @return the address or the error. */
result<address> parse_address(std::string_view text);

} // namespace cove
