#include "node/node_view.h"

namespace cove {

namespace {

constexpr milliseconds refusal_retry_after{1000}; ///< least Retry-After of a refusal

} // namespace

void send_to(node_view const& view, node_effects& effects, node_id const& to, peer_message body)
{
    auto const peer = view.members.members.find(to);
    std::string address;
    if (peer != view.members.members.end()) {
        address = peer->second.host.peer_address;
    }
    effects.emplace_back(send_peer{to, std::move(address), std::move(body)});
}

microseconds spread_retry_after(random_engine& random, microseconds base)
{
    return base + microseconds(random_below(random, static_cast<std::uint64_t>(base.count())));
}

final_answer refuse(node_view const& view, std::string step, std::string peer, std::string reason)
{
    final_answer answer;
    answer.result = outcome::not_run;
    answer.retry_after = spread_retry_after(view.random, refusal_retry_after);
    answer.step = std::move(step);
    answer.peer = std::move(peer);
    answer.reason = std::move(reason);
    return answer;
}

final_answer unknown_outcome(std::string step, std::string peer, std::string reason)
{
    final_answer answer;
    answer.result = outcome::unknown;
    answer.step = std::move(step);
    answer.peer = std::move(peer);
    answer.reason = std::move(reason);
    return answer;
}

} // namespace cove
