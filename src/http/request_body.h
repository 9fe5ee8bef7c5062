#pragma once
/** @file Body of a request while it arrives. */

#include "http/http_type.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/optional.hpp>
#include <cstdint>
#include <list>
#include <string>

namespace cove {

/** Collects the bytes of a body and never holds them twice, however they arrive. */
class body_bytes {
public:
    /** Announces the length of the body in bytes; memory is used only as they arrive. */
    void expect(std::uint64_t length);

    void append(char const* bytes, std::size_t size);

    /** Discards the bytes so far. */
    void clear();

    /** @return the bytes so far. */
    [[nodiscard]] std::size_t size() const { return size_; }

    /** @return all bytes, which are then no longer held here. */
    std::string release();

private:
    std::string text_;              ///< of a body of known length
    std::list<std::string> blocks_; ///< of any other
    std::size_t size_ = 0;
    bool length_known_ = false;
};

/** Body type of Beast's parser that collects into body_bytes. */
struct request_body {
    using value_type = body_bytes;

    class reader {
    public:
        template <bool is_request, class Fields>
        reader(boost::beast::http::header<is_request, Fields>&, value_type& body) : body_(body)
        {
        }

        void init(boost::optional<std::uint64_t> const& length, boost::system::error_code& error)
        {
            if (length) {
                body_.expect(*length);
            }
            error = {};
        }

        template <class Buffers>
        std::size_t put(Buffers const& buffers, boost::system::error_code& error)
        {
            std::size_t size = 0;
            for (auto const part : boost::beast::buffers_range_ref(buffers)) {
                body_.append(static_cast<char const*>(part.data()), part.size());
                size += part.size();
            }
            error = {};
            return size;
        }

        static void finish(boost::system::error_code& error) { error = {}; }

    private:
        value_type& body_;
    };
};

} // namespace cove
