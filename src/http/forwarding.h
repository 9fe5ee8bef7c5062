#pragma once
/** @file Which header fields of a message concern one connection only. */

#include "http/http_type.h"

namespace cove {

/**
 * Removes the fields that concern one connection (RFC 9110, 7.6.1), the ones named by Connection
 * included, and the framing fields: the sender frames the body anew.
 */
void remove_hop_fields(boost::beast::http::fields& fields);

} // namespace cove
