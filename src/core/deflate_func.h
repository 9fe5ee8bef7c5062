#pragma once
/** @file Compression of texts that hosts send to each other. */

#include "core/error.h"

#include <string>

namespace cove {

/** @return @p text in zlib format. */
std::string deflate_text(std::string const& text);

/**
 * @param bytes in zlib format.
 * @param max_size longest text that is accepted, so that a malformed message cannot use up memory.
 * @return the text, or an error if @p bytes are malformed, incomplete or longer than that.
 */
result<std::string> inflate_text(std::string const& bytes, std::size_t max_size);

} // namespace cove
