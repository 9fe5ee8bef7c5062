#include "operation/operation_func.h"

#include <algorithm>

namespace cove {

namespace {

constexpr microseconds initial_resend_interval = milliseconds(250); ///< doubles with each resend
/** Time to wait for membership to report an unknown home, which may have just restarted. */
constexpr milliseconds home_discovery_timeout{2000};
constexpr int answer_reserve_divisor = 8; ///< 1/8 of the time left is kept for the way back

/** The node that answers for an operation's home. */
struct answering_node {
    node_id node;
    incarnation_id incarnation;
};

/** @return the home or, if it is gone, its successor. */
std::optional<answering_node> find_answering_node(operation_state const& state,
                                                  node_view const& view, incarnation_id home)
{
    auto const node = find_incarnation(view.members, home);
    if (node && !is_gone(view, *node, home)) {
        return answering_node{*node, home};
    }
    auto const successor = state.successors.find(home);
    if (successor == state.successors.end()) {
        return std::nullopt;
    }
    auto const peer = view.members.members.find(successor->second);
    if (peer == view.members.members.end() ||
        is_gone(view, successor->second, peer->second.incarnation)) {
        return std::nullopt;
    }
    return answering_node{successor->second, peer->second.incarnation};
}

final_answer home_gone(node_id const& home)
{
    return unknown_outcome("operation.relay", home.value, "the operation's home is gone");
}

/** @return the answer that a stopped home transferred here, or an unknown outcome. */
final_answer transferred_answer(operation_state const& state, operation_request const& request)
{
    auto const table = state.transferred.find(request.id.home);
    auto const* found = table == state.transferred.end()
                            ? nullptr
                            : find_finished(table->second.answers, request.id);
    return found != nullptr && found->fingerprint == request.fingerprint ? found->answer
                                                                         : home_gone({});
}

void send_relay(node_view const& view, relayed_operation& relayed, node_effects& effects)
{
    relayed.resend_at = view.now.mono + relayed.resend_interval;
    relayed.resend_interval *= 2;
    microseconds const left = relayed.deadline - view.now.mono;
    auto const& request = relayed.request;
    send_to(view, effects, relayed.home,
            relay_request{request.id, request.service, request.request_class,
                          left - left / answer_reserve_divisor, request.body});
}

void end_relay(operation_state& state, node_view const& view, operation_id const& id,
               final_answer const& answer, node_effects& effects)
{
    auto node = state.relayed.extract(id);
    state.timers.erase({node.mapped().timer, id});
    for (waiter const& recipient : node.mapped().waiters) {
        give_answer(state, view, node.mapped().request, recipient, answer, effects);
    }
}

/** @return whether the home is neither a known incarnation nor known to be gone. */
bool is_undiscovered(node_view const& view, incarnation_id home)
{
    return !find_incarnation(view.members, home) && !incarnation_ended(view.members, home);
}

void arm(operation_state& state, operation_id const& id, relayed_operation& relayed)
{
    mono_time const next =
        relayed.home.value.empty() ? relayed.discovery_deadline : relayed.resend_at;
    rearm(state, id, relayed, std::min(relayed.deadline, next));
}

/** @return whether to wait longer for an undiscovered home. */
bool awaits_discovery(node_view const& view, relayed_operation const& relayed)
{
    return view.now.mono < relayed.discovery_deadline &&
           is_undiscovered(view, relayed.request.id.home);
}

/** Relays the request to the node that answers for the home. @return whether there is one. */
bool redirect(operation_state& state, node_view const& view, relayed_operation& relayed,
              node_effects& effects)
{
    auto const next = find_answering_node(state, view, relayed.request.id.home);
    if (!next) {
        return false;
    }
    relayed.home = next->node;
    relayed.home_incarnation = next->incarnation;
    relayed.resend_interval = initial_resend_interval;
    send_relay(view, relayed, effects);
    return true;
}

} // namespace

bool is_gone(node_view const& view, node_id const& node, incarnation_id incarnation)
{
    if (node == view.self.id) {
        return incarnation != view.self.incarnation;
    }
    auto const peer = view.members.members.find(node);
    return peer == view.members.members.end() || !peer->second.has_update ||
           peer->second.incarnation != incarnation || incarnation_ended(view.members, incarnation);
}

void relay_to_home(operation_state& state, node_view const& view, operation_request const& request,
                   waiter const& recipient, node_effects& effects)
{
    if (auto const known = state.relayed.find(request.id); known != state.relayed.end()) {
        relayed_operation& relayed = known->second;
        if (relayed.request.fingerprint != request.fingerprint) {
            give_answer(state, view, request, recipient,
                        refuse(view, "operation.relay", request.service.value,
                               "the operation id was already used for a different request"),
                        effects);
            return;
        }
        mono_time const deadline = view.now.mono + request.timeout;
        for (waiter const& earlier : relayed.waiters) {
            set_caller_deadline(state, earlier, relayed.deadline);
        }
        relayed.waiters.push_back(recipient);
        set_caller_deadline(state, recipient, deadline);
        relayed.deadline = std::max(relayed.deadline, deadline);
        arm(state, request.id, relayed);
        return;
    }
    relayed_operation relayed;
    relayed.request = request;
    relayed.deadline = view.now.mono + request.timeout;
    relayed.discovery_deadline = view.now.mono + home_discovery_timeout;
    if (!redirect(state, view, relayed, effects) &&
        (state.transferred.contains(request.id.home) || !awaits_discovery(view, relayed))) {
        give_answer(state, view, request, recipient, transferred_answer(state, request), effects);
        return;
    }
    relayed.waiters.push_back(recipient);
    arm(state, request.id, state.relayed.emplace(request.id, std::move(relayed)).first->second);
}

void on_relay_due(operation_state& state, node_view const& view, operation_id const& id,
                  node_effects& effects)
{
    relayed_operation& relayed = state.relayed.at(id);
    if (relayed.home.value.empty()) {
        end_relay(state, view, id, transferred_answer(state, relayed.request), effects);
        return;
    }
    if (view.now.mono >= relayed.deadline) {
        end_relay(state, view, id,
                  unknown_outcome("operation.relay", relayed.home.value,
                                  "the operation's home did not answer before the deadline"),
                  effects);
        return;
    }
    ++state.counters.resends;
    send_relay(view, relayed, effects);
    arm(state, id, relayed);
}

void handle_lost_homes(operation_state& state, node_view const& view, node_effects& effects)
{
    std::vector<operation_id> lost;
    for (auto& [id, relayed] : state.relayed) {
        if (!is_gone(view, relayed.home, relayed.home_incarnation)) {
            continue;
        }
        if (redirect(state, view, relayed, effects)) {
            arm(state, id, relayed);
        }
        else if (!relayed.home.value.empty() || !awaits_discovery(view, relayed)) {
            lost.push_back(id);
        }
    }
    for (operation_id const& id : lost) {
        relayed_operation const& relayed = state.relayed.at(id);
        end_relay(state, view, id, transferred_answer(state, relayed.request), effects);
    }
}

void on_relay_request(operation_state& state, node_view const& view, node_id const& from,
                      relay_request const& request, node_effects& effects)
{
    operation_request const in{
        request.operation,
        request.service,
        request.request_class,
        request.timeout,
        request.body,
        fingerprint_of(request.service, request.request_class, request.body)};
    waiter const recipient{0, from, view.now.mono};
    if (in.id.home == view.self.incarnation) {
        run_as_home(state, view, in, recipient, effects);
        return;
    }
    give_answer(state, view, in, recipient, transferred_answer(state, in), effects);
}

void on_relay_answer(operation_state& state, node_view const& view, relay_answer const& message,
                     node_effects& effects)
{
    auto const found = state.relayed.find(message.operation);
    if (found == state.relayed.end() || found->second.request.fingerprint != message.fingerprint) {
        ++state.counters.late_relay_answers;
        return;
    }
    end_relay(state, view, message.operation, message.answer, effects);
}

} // namespace cove
