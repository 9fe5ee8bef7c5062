#pragma once
/** @file Detects line folding in the header section of a message. */

#include <cstddef>
#include <string_view>

namespace cove {

/**
 * Finds a folded line, which begins with a space or a tab, in the header section of one message.
 * The parser would append it to the field before; a receiver may refuse it (RFC 9112, 5.2).
 */
class folded_line_finder {
public:
    /**
     * Takes the next bytes of the message.
     * @return whether a folded line begins in them.
     */
    bool take(std::string_view bytes);

private:
    std::size_t line_bytes_ = 0; ///< of the current line, without its line break
    bool header_ended_ = false;
};

} // namespace cove
