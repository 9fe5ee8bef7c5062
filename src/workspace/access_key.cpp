#include "workspace/access_key.h"

#include "core/hash_func.h"

#include <algorithm>

namespace cove {

namespace {

constexpr std::size_t max_key_bytes = 1024;
constexpr std::size_t fingerprint_digits = 32;
constexpr std::size_t log_digits = 8;

} // namespace

bool is_access_key(std::string_view key)
{
    return !key.empty() && key.size() <= max_key_bytes &&
           std::all_of(key.begin(), key.end(), [](char c) { return c > ' ' && c < 0x7f; });
}

std::string key_fingerprint(std::string_view key)
{
    return content_hash(key).substr(0, fingerprint_digits);
}

std::string key_log_name(std::string_view key)
{
    return content_hash(key).substr(0, log_digits);
}

} // namespace cove
