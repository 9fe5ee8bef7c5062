#include "core/address.h"

#include <arpa/inet.h>
#include <charconv>

namespace cove {

namespace {

constexpr int max_port = 65535;

} // namespace

bool is_ip_address(std::string const& text)
{
    in6_addr buffer{};
    bool const has_null = text.find('\0') != std::string::npos; // would end the text for inet_pton
    return !has_null && (inet_pton(AF_INET, text.c_str(), &buffer) == 1 ||
                         inet_pton(AF_INET6, text.c_str(), &buffer) == 1);
}

result<address> parse_address(std::string_view text)
{
    auto const colon = text.rfind(':');
    address out;
    if (colon != std::string_view::npos) {
        out.ip = std::string(text.substr(0, colon));
        if (out.ip.size() > 2 && out.ip.front() == '[' && out.ip.back() == ']') {
            out.ip = out.ip.substr(1, out.ip.size() - 2);
        }
        std::string_view const port = text.substr(colon + 1);
        auto const [end, code] = std::from_chars(port.data(), port.data() + port.size(), out.port);
        if (code == std::errc{} && end == port.data() + port.size() && out.port > 0 &&
            out.port <= max_port && is_ip_address(out.ip)) {
            return out;
        }
    }
    return fail("address.parse", std::string(text), "expected IP:port, for example 127.0.0.1:8080");
}

} // namespace cove
