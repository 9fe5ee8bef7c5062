#include "http/request_body.h"

#include <algorithm>

namespace cove {

namespace {

/// Large enough that the C library returns a block to the system when it is freed.
constexpr std::size_t block_bytes = 262'144;

} // namespace

void body_bytes::expect(std::uint64_t length)
{
    length_known_ = true;
    text_.reserve(length);
}

void body_bytes::append(char const* bytes, std::size_t size)
{
    size_ += size;
    if (length_known_) {
        text_.append(bytes, size);
        return;
    }
    while (size > 0) {
        if (blocks_.empty() || blocks_.back().size() == block_bytes) {
            blocks_.emplace_back().reserve(block_bytes);
        }
        std::size_t const part = std::min(size, block_bytes - blocks_.back().size());
        blocks_.back().append(bytes, part);
        bytes += part;
        size -= part;
    }
}

void body_bytes::clear()
{
    std::string().swap(text_);
    blocks_.clear();
    size_ = 0;
    length_known_ = false;
}

std::string body_bytes::release()
{
    if (!length_known_) {
        text_.reserve(size_);
        for (; !blocks_.empty(); blocks_.pop_front()) { // frees each block once it is copied
            text_ += blocks_.front();
        }
    }
    std::string out = std::move(text_);
    clear();
    return out;
}

} // namespace cove
