#include "operation/operation_func.h"

#include <algorithm>
#include <limits>

namespace cove {

namespace {

constexpr std::size_t max_chunk_records = 128;        ///< most records in one message
constexpr std::size_t max_chunk_bytes = 256UL << 10U; ///< then a chunk gets no more records
constexpr milliseconds chunk_resend_interval{200};    ///< for unacknowledged chunks
/** After this time the process stops, even if its finished table was not fully transferred. */
constexpr seconds transfer_time_limit{5};
constexpr std::size_t max_successors = 1024; ///< stopped homes whose successor is remembered

std::vector<finished_records> split_into_chunks(finished_table const& table, incarnation_id home)
{
    std::vector<finished_records> chunks;
    std::size_t bytes = 0;
    for (auto const& [period, records] : table.periods) {
        for (auto const& [nonce, record] : records) {
            if (chunks.empty() || chunks.back().records.size() >= max_chunk_records ||
                bytes >= max_chunk_bytes) {
                chunks.push_back({home, chunks.size() + 1, {}});
                bytes = 0;
            }
            bytes += bytes_of_record(record);
            chunks.back().records.push_back(
                {{home, period, nonce}, record.fingerprint, record.answer});
        }
    }
    return chunks;
}

std::optional<node_id> choose_successor(node_view const& view)
{
    auto peers = live_members(view.members, view.self.zone, view.now.mono);
    std::erase(peers, view.self.id);
    return keeper_of(target_id{view.self.id.value}, peers);
}

void announce_successor(operation_state const& state, node_view const& view, node_effects& effects)
{
    for (node_id const& peer : live_members(view.members, view.self.zone, view.now.mono)) {
        if (peer != view.self.id) {
            send_to(view, effects, peer,
                    successor_notice{view.self.incarnation, *state.outgoing_transfer.successor});
        }
    }
}

void send_chunk(operation_state& state, node_view const& view, node_effects& effects)
{
    state.outgoing_transfer.resend_at = view.now.mono + chunk_resend_interval;
    send_to(view, effects, *state.outgoing_transfer.successor,
            state.outgoing_transfer.chunks.back());
}

std::size_t total_record_bytes(operation_state const& state)
{
    std::size_t bytes = state.finished.bytes;
    for (auto const& [home, table] : state.transferred) {
        bytes += table.answers.bytes;
    }
    return bytes;
}

} // namespace

void refuse_new_operations(operation_state& state)
{
    state.closed_period = period_id{std::numeric_limits<std::uint64_t>::max()};
}

bool transfer_finished_table(operation_state& state, node_view const& view, node_effects& effects)
{
    table_transfer& out = state.outgoing_transfer;
    if (out.done) {
        return true;
    }
    if (out.give_up_at == mono_time{}) {
        out.give_up_at = view.now.mono + transfer_time_limit;
    }
    if (!out.successor || !is_live(view.members.members.at(*out.successor), view.now.mono)) {
        out.successor = choose_successor(view);
        out.chunks = split_into_chunks(state.finished, view.self.incarnation);
        out.resend_at = view.now.mono;
    }
    if (!out.successor || out.chunks.empty() || view.now.mono >= out.give_up_at) {
        out.done = true;
        return true;
    }
    if (view.now.mono >= out.resend_at) {
        send_chunk(state, view, effects);
    }
    return false;
}

void on_finished_records_ack(operation_state& state, node_view const& view,
                             finished_records_ack const& ack, node_effects& effects)
{
    table_transfer& out = state.outgoing_transfer;
    if (ack.home != view.self.incarnation || out.chunks.empty() ||
        out.chunks.back().chunk != ack.chunk) {
        return;
    }
    out.chunks.pop_back();
    if (out.chunks.empty()) {
        announce_successor(state, view, effects);
    }
    else {
        send_chunk(state, view, effects);
    }
}

void on_finished_records(operation_state& state, node_view const& view, node_id const& from,
                         finished_records const& message, node_effects& effects)
{
    transferred_table& table = state.transferred[message.home];
    table.expires_at = view.now.mono + period_length * kept_periods;
    for (finished_record const& record : message.records) {
        if (total_record_bytes(state) >= state.table_limit) {
            ++state.counters.records_refused;
            continue;
        }
        store_finished(table.answers, record.operation, {record.fingerprint, record.answer});
    }
    send_to(view, effects, from, finished_records_ack{message.home, message.chunk});
}

void on_successor_notice(operation_state& state, successor_notice const& notice)
{
    if (state.successors.size() >= max_successors) {
        state.successors.erase(state.successors.begin());
    }
    state.successors[notice.home] = notice.successor;
}

} // namespace cove
