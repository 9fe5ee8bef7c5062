/**
 * @file membership-bench: messages, bytes and processor time per node of the membership protocol.
 *
 * Runs all reducers of one zone in virtual time. Other zones exist only in the host list; their
 * digests are generated at the rate at which their speakers would send them. Prints one JSON object
 * per size.
 */

#include "core/scheduler.h"
#include "net/peer_codec.h"
#include "node/node.h"

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <deque>
#include <nlohmann/json.hpp>

namespace {

using namespace cove;

constexpr seconds warm_up{20};
constexpr seconds measured_duration{60};
constexpr microseconds zone_delay{200};
constexpr milliseconds remote_digest_interval{500}; ///< two speakers, one digest per second each

struct traffic {
    std::uint64_t sent = 0;
    std::uint64_t sent_bytes = 0;
    std::uint64_t received = 0;
    std::uint64_t received_bytes = 0;
};

double cpu_seconds()
{
    timespec now{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) / 1e9;
}

/** Simulates the nodes of one zone and the digests that other zones send them. */
class zone_bench {
public:
    zone_bench(std::size_t zone_size, std::size_t zones) : zone_size_(zone_size), zones_(zones)
    {
        auto const hosts = std::make_shared<host_list const>(make_list());
        for (std::size_t i = 0; i < zone_size_; ++i) {
            entry_host const& host = hosts->entry_hosts[i];
            nodes_.push_back(make_node(
                {host.id, host.zone, incarnation_id{i + 1}, host.caller_address, host.peer_address},
                i + 1));
            deliver(i, host_list_changed{hosts});
            deliver(i, wake_due{});
        }
        traffic_.resize(zone_size_);
        if (zones_ > 1) {
            receive_remote_digest();
        }
    }

    nlohmann::json run()
    {
        run_until(scheduler_.now() + warm_up);
        std::ranges::fill(traffic_, traffic{});
        double const cpu = cpu_seconds();
        run_until(scheduler_.now() + measured_duration);
        return report(cpu_seconds() - cpu);
    }

private:
    static entry_host host_of(std::size_t zone, std::size_t index)
    {
        char zone_name[8];
        char name[16];
        std::snprintf(zone_name, sizeof zone_name, "z%03zu", zone);
        std::snprintf(name, sizeof name, "z%03zu-e%02zu", zone, index);
        std::string const ip = "10." + std::to_string(zone) + ".0." + std::to_string(index);
        return {node_id{name}, zone_id{zone_name}, ip + ":7000", ip + ":7001"};
    }

    host_list make_list() const
    {
        host_list hosts;
        hosts.version = 1;
        for (std::size_t zone = 0; zone < zones_; ++zone) {
            for (std::size_t index = 0; index < zone_size_; ++index) {
                hosts.entry_hosts.push_back(host_of(zone, index));
            }
        }
        return hosts;
    }

    void run_until(mono_time end)
    {
        scheduler_.at(end, [this] { ended_ = true; });
        ended_ = false;
        while (!ended_ && scheduler_.run_next()) {
        }
    }

    void deliver(std::size_t node, node_event_body body)
    {
        instant const now{scheduler_.now(), wall_time(scheduler_.now().time_since_epoch())};
        for (node_effect const& effect : reduce(nodes_[node], {now, std::move(body)})) {
            if (auto const* send = std::get_if<send_peer>(&effect)) {
                send_message(node, *send);
            }
            else if (auto const* wake = std::get_if<wake_at>(&effect)) {
                scheduler_.at(wake->at, [this, node] { deliver(node, wake_due{}); });
            }
        }
    }

    /** Counts the message; delivers it if the receiver is a simulated node. */
    void send_message(std::size_t from, send_peer const& send)
    {
        peer_envelope const envelope{nodes_[from].self.id, nodes_[from].self.incarnation,
                                     send.body};
        std::size_t const bytes = encode_envelope(envelope).size();
        ++traffic_[from].sent;
        traffic_[from].sent_bytes += bytes;
        auto const to = std::ranges::find_if(
            nodes_, [&](node_state const& node) { return node.self.id == send.to; });
        if (to != nodes_.end()) {
            receive(static_cast<std::size_t>(to - nodes_.begin()), envelope, bytes);
        }
    }

    void receive(std::size_t node, peer_envelope const& envelope, std::size_t bytes)
    {
        ++traffic_[node].received;
        traffic_[node].received_bytes += bytes;
        scheduler_.after(zone_delay, [this, node, envelope] { deliver(node, envelope); });
    }

    /** Delivers a digest of the next other zone and schedules the one after it. */
    void receive_remote_digest()
    {
        scheduler_.after(remote_digest_interval, [this] { receive_remote_digest(); });
        std::size_t const zone = 1 + digests_++ % (zones_ - 1);
        zone_digest digest;
        digest.zone = host_of(zone, 0).zone;
        for (std::size_t index = 0; index < zone_size_; ++index) {
            member_update word;
            word.node = host_of(zone, index).id;
            word.zone = digest.zone;
            word.incarnation = incarnation_id{zone * 1000 + index};
            word.epoch = 1;
            word.sequence = digests_;
            word.period = period_id{digests_};
            digest.members.push_back(word);
        }
        peer_envelope const envelope{digest.members[0].node, digest.members[0].incarnation, digest};
        receive(digests_ % std::min<std::size_t>(2, zone_size_), envelope,
                encode_envelope(envelope).size());
    }

    nlohmann::json report(double cpu) const
    {
        double const seconds_measured = std::chrono::duration<double>(measured_duration).count();
        traffic sum;
        double max_bytes_per_second = 0;
        for (traffic const& node_traffic : traffic_) {
            sum.sent += node_traffic.sent;
            sum.sent_bytes += node_traffic.sent_bytes;
            sum.received += node_traffic.received;
            sum.received_bytes += node_traffic.received_bytes;
            max_bytes_per_second =
                std::max(max_bytes_per_second, static_cast<double>(node_traffic.sent_bytes +
                                                                   node_traffic.received_bytes) /
                                                   seconds_measured);
        }
        double const node_seconds = seconds_measured * static_cast<double>(zone_size_);
        std::size_t live = 0;
        for (auto const& [id, peer] : nodes_[0].members.members) {
            live += is_live(peer, scheduler_.now()) ? 1 : 0;
        }
        return {{"zone_size", zone_size_},
                {"zones", zones_},
                {"messages_sent_per_node_s", static_cast<double>(sum.sent) / node_seconds},
                {"bytes_sent_per_node_s", static_cast<double>(sum.sent_bytes) / node_seconds},
                {"bytes_both_ways_worst_node_s", max_bytes_per_second},
                {"core_share_per_node", cpu / node_seconds},
                {"live_in_view", live}};
    }

    std::size_t zone_size_;
    std::size_t zones_;
    scheduler scheduler_;
    std::deque<node_state> nodes_;
    std::vector<traffic> traffic_ = std::vector<traffic>(zone_size_);
    std::uint64_t digests_ = 0;
    bool ended_ = false;
};

} // namespace

int main()
{
    for (std::size_t const zone_size : {9, 18, 54}) {
        for (std::size_t const zones : {1, 8, 88}) {
            std::printf("%s\n", zone_bench(zone_size, zones).run().dump().c_str());
            std::fflush(stdout);
        }
    }
    return 0;
}
