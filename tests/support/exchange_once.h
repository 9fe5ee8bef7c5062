#pragma once
/** @file One request on a connection of its own. */

#include "http/exchange.h"
#include "support/scripted_server.h"

#include <gtest/gtest.h>

namespace cove {

/** Sends one request on a new connection and waits for its answer. */
inline exchange_result exchange_once(boost::asio::io_context& loop, std::string const& address,
                                     http_request request)
{
    auto const connection =
        std::make_shared<exchange_connection>(loop, endpoint_of(address), exchange_limits{});
    std::optional<exchange_result> got;
    connection->exchange(std::move(request), nullptr,
                         [&](exchange_result result) { got = std::move(result); });
    EXPECT_TRUE(run_until(loop, [&] { return got.has_value(); }));
    connection->close();
    return got.value_or(exchange_result{});
}

} // namespace cove
