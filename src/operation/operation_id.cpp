#include "operation/operation_id.h"

#include <array>
#include <charconv>

namespace cove {

namespace {

constexpr int hex_base = 16;
constexpr int decimal_base = 10;

std::string format_number(std::uint64_t value, int base)
{
    std::array<char, 24> buffer{};
    auto const end = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value, base).ptr;
    return {buffer.data(), end};
}

bool read_number(std::string_view& rest, int base, char separator, std::uint64_t& value)
{
    auto const [end, code] = std::from_chars(rest.data(), rest.data() + rest.size(), value, base);
    if (code != std::errc{}) {
        return false;
    }
    rest.remove_prefix(static_cast<std::size_t>(end - rest.data()));
    if (separator == '\0') {
        return rest.empty();
    }
    if (rest.empty() || rest.front() != separator) {
        return false;
    }
    rest.remove_prefix(1);
    return true;
}

} // namespace

std::string to_string(operation_id const& id)
{
    return format_number(id.home.value, hex_base) + "." +
           format_number(id.period.value, decimal_base) + "." + format_number(id.nonce, hex_base);
}

result<operation_id> parse_operation_id(std::string_view text)
{
    operation_id id;
    std::string_view rest = text;
    if (read_number(rest, hex_base, '.', id.home.value) &&
        read_number(rest, decimal_base, '.', id.period.value) &&
        read_number(rest, hex_base, '\0', id.nonce)) {
        return id;
    }
    return fail("operation_id.parse", std::string(text),
                "expected incarnation.period.nonce, for example 1f3a.7.9bc0");
}

} // namespace cove
