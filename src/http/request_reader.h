#pragma once
/** @file Parses one request and counts all of its bytes. */

#include "http/request_body.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <cstdint>

namespace cove {

/** Size limits of one request in bytes. */
struct request_limits {
    std::uint32_t header_bytes = 0;
    std::uint64_t body_bytes = 0;
};

/** One request while it arrives. Its trailers are discarded. */
class request_reader {
public:
    using parser = boost::beast::http::request_parser<request_body>;

    explicit request_reader(request_limits limits);

    [[nodiscard]] parser& parse() { return parser_; }
    [[nodiscard]] parser const& parse() const { return parser_; }

    /** @return the largest size of the buffer that is parsed, which bounds the trailers as well. */
    [[nodiscard]] std::size_t buffer_limit() const;

    /** Called once the header of @p bytes is complete, before the body is read. */
    void start_body(std::size_t bytes);

    /**
     * Counts @p bytes of the body and its framing.
     * @return whether framing and trailers stay within the limit on the header plus an eighth of
     * the body received so far.
     */
    [[nodiscard]] bool count(std::size_t bytes);

    /** @return bytes of the header and body that are held. */
    [[nodiscard]] std::size_t held() const { return header_bytes_ + parser_.get().body().size(); }

    /** Discards the body received so far; the request is not used any more. */
    void discard() { parser_.get().body().clear(); }

    /** @return the complete request without its trailers. */
    http_request release();

private:
    request_limits limits_;
    parser parser_;
    http_request header_; ///< copy of a chunked request's, as the parser adds trailers to it
    std::size_t header_bytes_ = 0;
    std::uint64_t received_ = 0; ///< since the header
};

} // namespace cove
