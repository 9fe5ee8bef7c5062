#pragma once
/** @file Removal of the header fields that a proxy must not forward. */

#include "http/http_type.h"

namespace cove {

/**
 * Removes the hop-by-hop fields (RFC 9110, 7.6.1), those named in Connection included, and the
 * framing fields: the body is framed anew when the message is sent.
 */
void remove_hop_by_hop_fields(boost::beast::http::fields& fields);

} // namespace cove
