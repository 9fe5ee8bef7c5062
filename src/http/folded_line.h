#pragma once
/** @file Finds header fields that are continued on another line. */

#include <cstddef>
#include <string_view>

namespace cove {

/**
 * Finds a line that begins with a blank in the header section of one message. The parser appends
 * such a line to the field before it; a receiver may also refuse the message (RFC 9112, 5.2).
 */
class folded_line_finder {
public:
    /**
     * Takes the next bytes of the message.
     * @return whether a line of the header section begins with a space or a tab in them.
     */
    bool take(std::string_view bytes);

private:
    std::size_t line_bytes_ = 0; ///< of the current line, without its line break
    bool header_ended_ = false;
};

} // namespace cove
