#include "core/hash_func.h"

#include <array>
#include <openssl/sha.h>
#include <xxhash.h>

namespace cove {

std::uint64_t stable_hash(std::string_view text, std::uint64_t seed)
{
    return XXH64(text.data(), text.size(), seed);
}

std::uint64_t stable_hash(std::uint64_t value, std::uint64_t seed)
{
    return XXH64(&value, sizeof value, seed);
}

std::string content_hash(std::string_view text)
{
    static constexpr std::string_view digits = "0123456789abcdef";
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<unsigned char const*>(text.data()), text.size(), digest.data());
    std::string hex;
    hex.reserve(digest.size() * 2);
    for (unsigned char byte : digest) {
        hex += digits[byte >> 4U];
        hex += digits[byte & 0x0FU];
    }
    return hex;
}

} // namespace cove
