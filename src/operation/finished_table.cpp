#include "operation/finished_table.h"

namespace cove {

namespace {

constexpr std::size_t table_entry_overhead = 32; ///< key, link and bucket of a hash table entry

/** @return bytes that @p text has allocated on the heap. */
std::size_t heap_bytes(std::string const& text)
{
    return text.capacity() > std::string().capacity() ? text.capacity() + 1 : 0;
}

} // namespace

std::size_t bytes_of_record(finished_operation const& record)
{
    final_answer const& answer = record.answer;
    return sizeof(record) + table_entry_overhead + bytes_of(answer.body).size() +
           heap_bytes(answer.step) + heap_bytes(answer.peer) + heap_bytes(answer.reason);
}

finished_operation const* find_finished(finished_table const& table, operation_id const& id)
{
    auto const period = table.periods.find(id.period);
    if (period == table.periods.end()) {
        return nullptr;
    }
    auto const found = period->second.find(id.nonce);
    return found == period->second.end() ? nullptr : &found->second;
}

void store_finished(finished_table& table, operation_id const& id, finished_operation record)
{
    std::size_t const bytes = bytes_of_record(record);
    if (table.periods[id.period].emplace(id.nonce, std::move(record)).second) {
        table.bytes += bytes;
        ++table.count;
    }
}

void prune_finished(finished_table& table, period_id oldest)
{
    while (!table.periods.empty() && table.periods.begin()->first < oldest) {
        for (auto const& [nonce, record] : table.periods.begin()->second) {
            table.bytes -= bytes_of_record(record);
            --table.count;
        }
        table.periods.erase(table.periods.begin());
    }
}

} // namespace cove
