#pragma once
/** @file A few entry hosts' reducers with a fake network and fake targets, in steps of 10 ms. */

#include "node/node.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <set>

namespace cove_test {

using namespace cove;

constexpr milliseconds tick{10};      ///< step of the simulation; also the delay of a message
constexpr milliseconds call_time{50}; ///< duration of a call to a target

struct message_in_flight {
    mono_time at;
    node_id to;
    peer_envelope envelope;
};

struct call_in_flight {
    mono_time at;
    node_id keeper;
    incarnation_id incarnation;
    call_result result;
};

/** Simulates entry hosts in one availability zone. */
class small_cluster {
public:
    std::map<node_id, node_state> nodes;
    std::set<node_id> dead;                   ///< get no events
    std::set<node_id> frozen;                 ///< get their events when unfrozen
    std::set<node_id> cut;                    ///< neither send nor receive messages
    std::map<operation_id, int> start_counts; ///< how often targets started each operation
    std::map<target_id, int> target_start_counts;
    std::map<request_key, std::vector<final_answer>> answers;
    std::set<node_id> stopped;
    std::vector<call_target> calls;
    std::vector<microseconds> duplicate_delays; ///< one duplicate of each message per entry
    microseconds hand_over_delay{};             ///< extra delay of a hand-over
    std::function<call_result(call_target const&)> target = [](call_target const& call) {
        return call_result{call.key, call_verdict::answered, 200, call.body, ""};
    };
    bool targets_hang = false; ///< calls start, but end only with their timeout
    host_list hosts;
    deployment config;
    disabled_mechanisms disabled;
    instant now{mono_time(seconds(1000)), wall_time(seconds(5000))};

    small_cluster(int node_count, int target_count)
    {
        hosts.version = 1;
        for (int i = 1; i <= target_count; ++i) {
            hosts.targets.push_back(
                {target_id{"t" + std::to_string(i)}, service_id{"s"}, zone_id{"z"}, "127.0.0.1:1"});
        }
        config.zones.push_back({zone_id{"z"}, region_id{"r"}});
        config.services.push_back({service_id{"s"},
                                   2,
                                   10,
                                   {{class_id{"read"}, true, 2, milliseconds(1000)},
                                    {class_id{"write"}, false, 1, milliseconds(1000)}}});
        for (int i = 1; i <= node_count; ++i) {
            node_id const id{"e" + std::to_string(i)};
            hosts.entry_hosts.push_back({id, zone_id{"z"}, "127.0.0.1:2", "127.0.0.1:3"});
        }
    }

    void start()
    {
        for (entry_host const& host : hosts.entry_hosts) {
            start_node(host.id);
        }
        run(milliseconds(1200));
    }

    void start_node(node_id const& id)
    {
        dead.erase(id);
        nodes[id] = make_node({id, zone_id{"z"}, incarnation_id{++last_incarnation_}}, 7);
        nodes[id].disabled = disabled;
        post(id, host_list_changed{std::make_shared<host_list>(hosts)});
        post(id, config_changed{generation{1}, std::make_shared<deployment>(config)});
        post(id, wake_due{});
    }

    void change_hosts()
    {
        ++hosts.version;
        for (auto const& [id, state] : nodes) {
            post(id, host_list_changed{std::make_shared<host_list>(hosts)});
        }
    }

    operation_id new_id(node_id const& home)
    {
        node_state const& state = nodes.at(home);
        return {state.self.incarnation, state.operations.period, ++last_nonce_};
    }

    request_key send_request(node_id const& entry, std::optional<operation_id> id,
                             char const* request_class = "write", milliseconds timeout = seconds(1))
    {
        request_key const key = ++last_key_;
        post(entry, caller_request{key, id, service_id{"s"}, class_id{request_class}, timeout,
                                   make_payload("body")});
        return key;
    }

    void post(node_id const& to, node_event_body body)
    {
        if (dead.contains(to)) {
            return;
        }
        if (frozen.contains(to)) {
            frozen_events_.emplace_back(to, std::move(body));
            return;
        }
        for (node_effect& effect : reduce(nodes.at(to), {now, std::move(body)})) {
            apply_effect(to, effect);
        }
    }

    void unfreeze(node_id const& id)
    {
        frozen.erase(id);
        auto const frozen_events = std::move(frozen_events_);
        frozen_events_.clear();
        for (auto const& [to, body] : frozen_events) {
            post(to, body);
        }
    }

    void run(milliseconds time)
    {
        for (milliseconds spent{}; spent < time; spent += tick) {
            now.mono += tick;
            now.wall += tick;
            for (auto& [id, state] : nodes) {
                if (state.next_wake <= now.mono && !dead.contains(id) && !frozen.contains(id)) {
                    post(id, wake_due{});
                }
            }
            deliver();
        }
    }

private:
    void deliver()
    {
        auto messages = std::move(messages_);
        messages_.clear();
        for (message_in_flight& item : messages) {
            if (item.at > now.mono) {
                messages_.push_back(std::move(item));
            }
            else if (!cut.contains(item.to)) {
                post(item.to, std::move(item.envelope));
            }
        }
        auto calls = std::move(calls_);
        calls_.clear();
        for (call_in_flight& item : calls) {
            if (item.at > now.mono) {
                calls_.push_back(std::move(item));
            }
            else if (nodes.at(item.keeper).self.incarnation == item.incarnation) {
                post(item.keeper, std::move(item.result));
            }
        }
    }

    void apply_effect(node_id const& from, node_effect& effect)
    {
        if (auto* send = std::get_if<send_peer>(&effect)) {
            if (cut.contains(from) || cut.contains(send->to) || !nodes.contains(send->to)) {
                return;
            }
            peer_envelope const envelope{from, nodes.at(from).self.incarnation, send->body};
            bool const slow = std::holds_alternative<hand_over>(send->body);
            messages_.push_back(
                {now.mono + tick + (slow ? hand_over_delay : microseconds{}), send->to, envelope});
            for (microseconds const delay : duplicate_delays) {
                messages_.push_back({now.mono + tick + delay, send->to, envelope});
            }
        }
        else if (auto const* call = std::get_if<call_target>(&effect)) {
            start_call(from, *call);
        }
        else if (auto const* response = std::get_if<reply>(&effect)) {
            answers[response->key].push_back(response->answer);
        }
        else if (std::holds_alternative<stop_complete>(effect)) {
            stopped.insert(from);
        }
    }

    void start_call(node_id const& keeper, call_target const& call)
    {
        calls.push_back(call);
        call_result result = target(call);
        mono_time at = now.mono + call_time;
        if (result.verdict != call_verdict::not_started) {
            ++start_counts[call.operation];
            ++target_start_counts[call.target];
        }
        if (targets_hang) {
            result = {call.key, call_verdict::broken, 0, nullptr, "timeout"};
            at = now.mono + call.timeout;
        }
        calls_.push_back({at, keeper, nodes.at(keeper).self.incarnation, result});
    }

    std::vector<message_in_flight> messages_;
    std::vector<call_in_flight> calls_;
    std::deque<std::pair<node_id, node_event_body>> frozen_events_;
    std::uint64_t last_incarnation_ = 10;
    std::uint64_t last_nonce_ = 0;
    request_key last_key_ = 0;
};

} // namespace cove_test
