#pragma once
/** @file Errors that name the step that failed and the peer that it involved. */

#include <string>
#include <tl/expected.hpp>

namespace cove {

/** An error with the step and the peer at which it occurred. */
struct step_error {
    std::string step;    ///< operation that failed, for example "config.parse"
    std::string peer;    ///< the other party: an address, a file or a JSON pointer; may be empty
    std::string message; ///< human-readable description

    bool operator==(step_error const&) const = default;
};

template <class T>
using result = tl::expected<T, step_error>;

/**
 * Builds the error value of a result.
 * @param step operation that failed.
 * @param peer the other party; may be empty.
 * @param message human-readable description.
 */
inline tl::unexpected<step_error> fail(std::string step, std::string peer, std::string message)
{
    return tl::make_unexpected(step_error{std::move(step), std::move(peer), std::move(message)});
}

/** @return the error as one line of text. */
inline std::string to_string(step_error const& error)
{
    return error.step + (error.peer.empty() ? "" : " [" + error.peer + "]") + ": " + error.message;
}

} // namespace cove
