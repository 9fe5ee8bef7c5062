#pragma once
/** @file HTTP message types of the programs on the event loop. */

#include <utility> // missing in the headers of Boost.Asio 1.74, which then fail with GCC 12

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <string>

namespace cove {

using http_request = boost::beast::http::request<boost::beast::http::string_body>;
using http_response = boost::beast::http::response<boost::beast::http::string_body>;
using http_endpoint = boost::asio::ip::tcp::endpoint;

constexpr unsigned http_version = 11; ///< HTTP/1.1 in Beast's encoding

/** @return a copy of a header field or request target. */
inline std::string to_std_string(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace cove
