#pragma once
/** @file HTTP messages as the event loop's programs pass them on. */

#include <utility> // boost/asio of 1.74 needs it with GCC 12

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <string>

namespace cove {

using http_request = boost::beast::http::request<boost::beast::http::string_body>;
using http_response = boost::beast::http::response<boost::beast::http::string_body>;
using http_endpoint = boost::asio::ip::tcp::endpoint;

constexpr unsigned http_version = 11; ///< HTTP/1.1, as Beast writes it

/** @return a copy of a field or target of a message. */
inline std::string text_of(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace cove
