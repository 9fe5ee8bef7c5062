#pragma once
/** @file Operation ids; an id contains the incarnation of the only process that may dispatch it. */

#include "core/error.h"
#include "core/ids_type.h"

#include <string>
#include <string_view>

namespace cove {

/** `incarnation.period.nonce`; the caller creates it once and uses it for every retry. */
struct operation_id {
    incarnation_id home; ///< the only incarnation that may dispatch the operation
    period_id period;    ///< the home's period in which the id was created
    std::uint64_t nonce = 0;

    auto operator<=>(operation_id const&) const = default;
};

/** @return the id as `incarnation.period.nonce`; incarnation and nonce are hexadecimal. */
std::string to_string(operation_id const& id);

/** @return the id parsed from @p text, or an error. */
result<operation_id> parse_operation_id(std::string_view text);

} // namespace cove

template <>
struct std::hash<cove::operation_id> {
    std::size_t operator()(cove::operation_id const& id) const noexcept
    {
        return id.home.value ^ (id.period.value << 48U) ^ (id.nonce * 0x9E3779B97F4A7C15ULL);
    }
};
