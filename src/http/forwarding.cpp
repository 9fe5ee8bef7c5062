#include "http/forwarding.h"

#include <array>
#include <boost/beast/http/rfc7230.hpp>
#include <vector>

namespace cove {

namespace {

using boost::beast::http::field;

constexpr std::array hop_by_hop_fields{field::connection,
                                       field::keep_alive,
                                       field::proxy_connection,
                                       field::te,
                                       field::trailer,
                                       field::transfer_encoding,
                                       field::upgrade,
                                       field::content_length,
                                       field::proxy_authenticate,
                                       field::proxy_authorization};

} // namespace

void remove_hop_by_hop_fields(boost::beast::http::fields& fields)
{
    std::vector<std::string> named;
    auto const [first, last] = fields.equal_range(field::connection);
    for (auto it = first; it != last; ++it) {
        for (auto const& token : boost::beast::http::token_list(it->value())) {
            named.emplace_back(token.data(), token.size());
        }
    }
    for (std::string const& name : named) {
        fields.erase(name);
    }
    for (field const name : hop_by_hop_fields) {
        fields.erase(name);
    }
}

} // namespace cove
