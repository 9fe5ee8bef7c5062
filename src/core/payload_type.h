#pragma once
/** @file Immutable bodies of requests and answers, shared instead of copied. */

#include <memory>
#include <string>

namespace cove {

using payload = std::shared_ptr<std::string const>; ///< immutable; may be null

inline payload make_payload(std::string text)
{
    return std::make_shared<std::string const>(std::move(text));
}

/** @return the bytes of @p body; empty if it is null. */
inline std::string const& bytes_of(payload const& body)
{
    static std::string const empty;
    return body ? *body : empty;
}

} // namespace cove
