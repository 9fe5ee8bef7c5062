#include "core/deflate_func.h"

#include <algorithm>
#include <zlib.h>

namespace cove {

namespace {

/// The fastest level: the texts repeat a few phrases, which it finds as well as the others.
constexpr int compression_level = Z_BEST_SPEED;
constexpr std::size_t first_buffer_size = 65'536;

Bytef const* as_bytes(std::string const& text)
{
    return reinterpret_cast<Bytef const*>(text.data());
}

Bytef* as_bytes(std::string& text)
{
    return reinterpret_cast<Bytef*>(text.data());
}

} // namespace

std::string deflate_text(std::string const& text)
{
    uLongf size = compressBound(text.size());
    std::string out(size, '\0');
    // With a buffer of compressBound() it fails only if memory runs out, as an allocation does.
    if (compress2(as_bytes(out), &size, as_bytes(text), text.size(), compression_level) != Z_OK) {
        throw std::bad_alloc();
    }
    out.resize(size);
    return out;
}

result<std::string> inflate_text(std::string const& bytes, std::size_t max_size)
{
    std::size_t room = std::min(max_size, std::max(first_buffer_size, bytes.size()));
    for (;;) {
        std::string out(room, '\0');
        uLongf size = room;
        int const status = uncompress(as_bytes(out), &size, as_bytes(bytes), bytes.size());
        if (status == Z_OK) {
            out.resize(size);
            return out;
        }
        if (status != Z_BUF_ERROR || room == max_size) {
            return fail("inflate", std::to_string(bytes.size()) + " bytes",
                        status == Z_BUF_ERROR
                            ? "incomplete, or longer than " + std::to_string(max_size) + " bytes"
                            : "not in zlib format");
        }
        room = std::min(max_size, 2 * room); // incomplete input also ends at the limit
    }
}

} // namespace cove
