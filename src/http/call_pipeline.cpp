#include "http/call_pipeline.h"

#include <algorithm>

namespace cove {

bool call_pipeline::accepts() const
{
    return !ended_ && entries_.size() < limit_ &&
           std::all_of(entries_.begin(), entries_.end(),
                       [](entry const& each) { return each.concurrent; });
}

void call_pipeline::add(pipelined_call call)
{
    entry added;
    added.id = call.id;
    added.concurrent = call.concurrent;
    added.to_head = call.request.method() == boost::beast::http::verb::head;
    added.closes = !call.request.keep_alive();
    added.bytes = call.bytes;
    added.request = std::move(call.request);
    ended_ = ended_ || added.closes;
    entries_.push_back(std::move(added));
}

void call_pipeline::reject(http_response response)
{
    entry added;
    added.at = state::answered;
    added.closes = true;
    added.response = std::move(response);
    ended_ = true;
    entries_.push_back(std::move(added));
}

std::optional<pipelined_call> call_pipeline::start_next()
{
    auto const next = std::find_if(entries_.begin(), entries_.end(), [](entry const& each) {
        return each.at == state::waiting || !each.concurrent;
    });
    if (next == entries_.end() || next->at != state::waiting ||
        (!next->concurrent && next != entries_.begin())) {
        return std::nullopt;
    }
    next->at = state::running;
    pipelined_call started{next->id, std::move(*next->request), next->concurrent, next->bytes};
    next->request.reset();
    next->bytes -= std::min(next->bytes, started.request.body().size());
    return started;
}

void call_pipeline::respond(call_id id, http_response response)
{
    auto const found = std::find_if(entries_.begin(), entries_.end(), [id](entry const& each) {
        return each.at == state::running && each.id == id;
    });
    if (found != entries_.end()) {
        found->at = state::answered;
        found->bytes = response.body().size();
        found->response = std::move(response);
    }
}

std::optional<due_response> call_pipeline::take_response(bool stopping)
{
    if (entries_.empty() || entries_.front().at != state::answered) {
        return std::nullopt;
    }
    entry& first = entries_.front();
    first.at = state::sending;
    bool const is_last = entries_.size() == 1 && (stopping || ended_);
    first.closes = first.closes || is_last;
    ended_ = ended_ || first.closes;
    due_response due{std::move(*first.response), first.to_head, first.closes};
    first.response.reset();
    return due;
}

void call_pipeline::sent()
{
    if (!entries_.empty() && entries_.front().at == state::sending) {
        entries_.erase(entries_.begin());
    }
}

std::vector<call_id> call_pipeline::clear()
{
    std::vector<call_id> running;
    for (entry const& each : entries_) {
        if (each.at == state::running) {
            running.push_back(each.id);
        }
    }
    entries_.clear();
    ended_ = true;
    return running;
}

std::size_t call_pipeline::held() const
{
    std::size_t sum = 0;
    for (entry const& each : entries_) {
        sum += each.bytes;
    }
    return sum;
}

std::size_t call_pipeline::unanswered_calls() const
{
    return static_cast<std::size_t>(
        std::count_if(entries_.begin(), entries_.end(), [](entry const& each) {
            return each.at == state::waiting || each.at == state::running;
        }));
}

} // namespace cove
