#pragma once
/** @file Classes of characters. */

namespace cove {

/** @return whether @p byte is an ASCII control character. */
constexpr bool is_control(char byte)
{
    constexpr unsigned char del = 0x7f;
    auto const value = static_cast<unsigned char>(byte);
    return value < ' ' || value == del;
}

} // namespace cove
