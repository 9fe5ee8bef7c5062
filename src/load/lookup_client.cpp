#include "load/lookup_client.h"

#include "settings/settings_table.h"

#include <charconv>

namespace cove {

namespace {

using json = nlohmann::json;

constexpr int hex_base = 16;

/** Parses an incarnation: a hexadecimal string, or a number as sent by older look-up processes. */
std::optional<std::uint64_t> parse_incarnation(json const& value)
{
    if (value.is_number_unsigned()) {
        return value.get<std::uint64_t>();
    }
    if (!value.is_string()) {
        return std::nullopt;
    }
    auto const& text = value.get_ref<std::string const&>();
    std::uint64_t number = 0;
    auto const [end, code] =
        std::from_chars(text.data(), text.data() + text.size(), number, hex_base);
    if (code != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

bool parse_host(json const& value, lookup_answer& answer)
{
    if (!value.is_object() || !value.contains("address") || !value["address"].is_string() ||
        !value.contains("incarnation") || !value.contains("period") ||
        !value["period"].is_number_unsigned()) {
        return false;
    }
    auto const incarnation = parse_incarnation(value["incarnation"]);
    if (!incarnation) {
        return false;
    }
    answer.hosts.push_back({value["address"], incarnation_id{*incarnation},
                            period_id{value["period"].get<std::uint64_t>()}});
    return true;
}

} // namespace

result<lookup_answer> parse_lookup_answer(std::string_view text, std::string const& source)
{
    auto const parsed = parse_json(text, source);
    if (!parsed) {
        return tl::make_unexpected(parsed.error());
    }
    if (!parsed->is_object() || !parsed->contains("lifetime_s") ||
        !(*parsed)["lifetime_s"].is_number_unsigned() || !parsed->contains("entry_hosts") ||
        !(*parsed)["entry_hosts"].is_array()) {
        return fail("lookup.parse", source,
                    "expected an object with the number lifetime_s and the array entry_hosts");
    }
    lookup_answer answer;
    answer.lifetime = seconds((*parsed)["lifetime_s"].get<std::int64_t>());
    for (json const& host : (*parsed)["entry_hosts"]) {
        if (!parse_host(host, answer)) {
            return fail("lookup.parse", source, "invalid entry host " + host.dump());
        }
    }
    if (answer.hosts.empty()) {
        return fail("lookup.parse", source, "entry_hosts is empty");
    }
    return answer;
}

shared_lookup_answer lookup_cache::get(mono_time now, lookup_function const& look_up)
{
    std::lock_guard const lock(mutex_);
    if (answer_ == nullptr || now >= expires_) {
        if (auto answer = look_up()) {
            answer_ = std::make_shared<lookup_answer const>(std::move(*answer));
            expires_ = now + answer_->lifetime;
        }
    }
    return answer_;
}

void lookup_cache::expire()
{
    std::lock_guard const lock(mutex_);
    expires_ = mono_time{};
}

} // namespace cove
