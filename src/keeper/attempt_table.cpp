#include "keeper/attempt_table.h"

#include "core/invariant.h"

namespace cove {

namespace {

constexpr std::uint64_t max_message_age = 2;          ///< in periods; older messages are rejected
constexpr std::size_t max_entries = 500'000;          ///< hand-overs beyond this are dropped
constexpr std::size_t max_result_bytes = 16UL << 20U; ///< then the oldest results are evicted
constexpr std::size_t result_overhead = sizeof(hand_over_result) + sizeof(attempt_id);

std::size_t bytes_of_result(hand_over_result const& result)
{
    return result_overhead + bytes_of(result.answer.body).size();
}

void drop_oldest_result(attempt_table& table)
{
    auto const found = table.entries.find(table.results.front());
    table.results.pop_front();
    if (found != table.entries.end() && found->second.result != nullptr) {
        table.result_bytes -= bytes_of_result(*found->second.result);
        found->second.result.reset();
    }
}

void remove_ended_attempts(attempt_table& table, attempt_table::bucket const& old,
                           std::vector<attempt_id>& kept)
{
    for (attempt_id const& id : old.attempts) {
        auto const found = table.entries.find(id);
        if (found->second.phase != attempt_phase::ended) {
            kept.push_back(id);
            continue;
        }
        if (found->second.result != nullptr) {
            table.result_bytes -= bytes_of_result(*found->second.result);
        }
        table.entries.erase(found);
    }
}

} // namespace

attempt_entry* find_attempt(attempt_table& table, attempt_id const& id)
{
    auto const found = table.entries.find(id);
    return found == table.entries.end() ? nullptr : &found->second;
}

bool is_stale(attempt_table const& table, period_id period)
{
    return period.value + max_message_age < table.period.value;
}

attempt_entry* add_attempt(attempt_table& table, attempt_id const& id)
{
    if (table.entries.size() >= max_entries) {
        return nullptr;
    }
    auto const [entry, inserted] = table.entries.try_emplace(id);
    require_invariant(inserted, "an attempt is added at most once");
    if (table.buckets.empty() || table.buckets.back().period != table.period) {
        table.buckets.push_back({table.period, {}});
    }
    table.buckets.back().attempts.push_back(id);
    return &entry->second;
}

void end_attempt(attempt_table& table, hand_over_result const& result)
{
    attempt_id const id{result.operation, result.attempt};
    attempt_entry* entry = find_attempt(table, id);
    require_invariant(entry != nullptr && entry->phase != attempt_phase::ended,
                      "an attempt ends at most once");
    entry->phase = attempt_phase::ended;
    entry->result = std::make_unique<hand_over_result>(result);
    table.results.push_back(id);
    table.result_bytes += bytes_of_result(result);
    while (table.result_bytes > max_result_bytes) {
        drop_oldest_result(table);
    }
}

void advance_attempts(attempt_table& table, period_id period)
{
    if (period <= table.period) {
        return;
    }
    table.period = period;
    std::vector<attempt_id> kept;
    while (!table.buckets.empty() &&
           table.buckets.front().period.value + max_message_age < period.value) {
        remove_ended_attempts(table, table.buckets.front(), kept);
        table.buckets.pop_front();
    }
    while (!table.results.empty() && !table.entries.contains(table.results.front())) {
        table.results.pop_front();
    }
    if (!kept.empty()) {
        table.buckets.push_back({period, std::move(kept)});
    }
}

} // namespace cove
