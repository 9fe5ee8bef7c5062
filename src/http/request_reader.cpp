#include "http/request_reader.h"

namespace cove {

namespace {

constexpr std::uint64_t framing_divisor = 8;     ///< framing is an eighth of a body at most
constexpr std::size_t read_ahead_bytes = 16'384; ///< beyond the header

} // namespace

request_reader::request_reader(request_limits limits) : limits_(limits)
{
    parser_.header_limit(limits_.header_bytes);
    parser_.body_limit(limits_.body_bytes);
}

std::size_t request_reader::buffer_limit() const
{
    return limits_.header_bytes + read_ahead_bytes;
}

void request_reader::start_body(std::size_t bytes)
{
    header_bytes_ = bytes;
    if (parser_.chunked()) {
        header_.base() = parser_.get().base();
    }
}

bool request_reader::count(std::size_t bytes)
{
    received_ += bytes;
    std::uint64_t const body = parser_.get().body().size();
    return !parser_.chunked() || received_ <= body + limits_.header_bytes + body / framing_divisor;
}

http_request request_reader::release()
{
    http_request out;
    bool const chunked = parser_.chunked();
    auto message = parser_.release();
    out.base() = chunked ? std::move(header_.base()) : std::move(message.base());
    out.body() = message.body().release();
    return out;
}

} // namespace cove
