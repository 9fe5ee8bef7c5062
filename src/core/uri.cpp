#include "core/uri_func.h"

namespace cove {

namespace {

/** @return whether @p byte is an unreserved character (RFC 3986, 2.3), which needs no encoding. */
bool is_unreserved(char byte)
{
    return (byte >= 'A' && byte <= 'Z') || (byte >= 'a' && byte <= 'z') ||
           (byte >= '0' && byte <= '9') || byte == '-' || byte == '.' || byte == '_' || byte == '~';
}

} // namespace

std::string percent_encode(std::string_view text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    constexpr unsigned base = 16;
    std::string out;
    for (char const byte : text) {
        if (is_unreserved(byte)) {
            out += byte;
            continue;
        }
        auto const value = static_cast<unsigned char>(byte);
        out += '%';
        out += digits[value / base];
        out += digits[value % base];
    }
    return out;
}

} // namespace cove
