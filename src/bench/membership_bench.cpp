/**
 * @file membership-bench: messages, bytes and processor time of membership per node.
 *
 * Runs all reducers of one zone in virtual time. Other zones exist in the host list, and their
 * digests arrive at the rate at which their speakers send them. Prints one JSON object per size.
 */

#include "net/peer_codec.h"
#include "node/node.h"
#include "soak/scheduler.h"

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <deque>
#include <nlohmann/json.hpp>

namespace {

using namespace cove;

constexpr seconds warm_up{20};
constexpr seconds measured{60};
constexpr microseconds zone_delay{200};
constexpr milliseconds foreign_digest_interval{500}; ///< two speakers, one digest a second each

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

/** One zone of reducers, and the digests of the others. */
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
            foreign_digest();
        }
    }

    nlohmann::json run()
    {
        run_until(time_.now() + warm_up);
        std::ranges::fill(traffic_, traffic{});
        double const cpu = cpu_seconds();
        run_until(time_.now() + measured);
        return report(cpu_seconds() - cpu);
    }

private:
    static entry_host host_of(std::size_t zone, std::size_t place)
    {
        char zone_name[8];
        char name[16];
        std::snprintf(zone_name, sizeof zone_name, "z%03zu", zone);
        std::snprintf(name, sizeof name, "z%03zu-e%02zu", zone, place);
        std::string const ip = "10." + std::to_string(zone) + ".0." + std::to_string(place);
        return {node_id{name}, zone_id{zone_name}, ip + ":7000", ip + ":7001"};
    }

    host_list make_list() const
    {
        host_list hosts;
        hosts.version = 1;
        for (std::size_t zone = 0; zone < zones_; ++zone) {
            for (std::size_t place = 0; place < zone_size_; ++place) {
                hosts.entry_hosts.push_back(host_of(zone, place));
            }
        }
        return hosts;
    }

    void run_until(mono_time end)
    {
        time_.at(end, [this] { ended_ = true; });
        ended_ = false;
        while (!ended_ && time_.run_next()) {
        }
    }

    void deliver(std::size_t node, node_event_body body)
    {
        instant const now{time_.now(), wall_time(time_.now().time_since_epoch())};
        for (node_effect const& effect : reduce(nodes_[node], {now, std::move(body)})) {
            if (auto const* send = std::get_if<send_peer>(&effect)) {
                carry(node, *send);
            }
            else if (auto const* wake = std::get_if<wake_at>(&effect)) {
                time_.at(wake->at, [this, node] { deliver(node, wake_due{}); });
            }
        }
    }

    void carry(std::size_t from, send_peer const& send)
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
        time_.after(zone_delay, [this, node, envelope] { deliver(node, envelope); });
    }

    void foreign_digest()
    {
        time_.after(foreign_digest_interval, [this] { foreign_digest(); });
        std::size_t const zone = 1 + digests_++ % (zones_ - 1);
        zone_digest digest;
        digest.zone = host_of(zone, 0).zone;
        for (std::size_t place = 0; place < zone_size_; ++place) {
            member_update word;
            word.node = host_of(zone, place).id;
            word.zone = digest.zone;
            word.incarnation = incarnation_id{zone * 1000 + place};
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
        double const span = std::chrono::duration<double>(measured).count();
        traffic sum;
        double worst = 0;
        for (traffic const& one : traffic_) {
            sum.sent += one.sent;
            sum.sent_bytes += one.sent_bytes;
            sum.received += one.received;
            sum.received_bytes += one.received_bytes;
            worst =
                std::max(worst, static_cast<double>(one.sent_bytes + one.received_bytes) / span);
        }
        double const node_seconds = span * static_cast<double>(zone_size_);
        std::size_t live = 0;
        for (auto const& [id, peer] : nodes_[0].members.members) {
            live += is_live(peer, time_.now()) ? 1 : 0;
        }
        return {{"zone_size", zone_size_},
                {"zones", zones_},
                {"messages_sent_per_node_s", static_cast<double>(sum.sent) / node_seconds},
                {"bytes_sent_per_node_s", static_cast<double>(sum.sent_bytes) / node_seconds},
                {"bytes_both_ways_worst_node_s", worst},
                {"core_share_per_node", cpu / node_seconds},
                {"live_in_view", live}};
    }

    std::size_t zone_size_;
    std::size_t zones_;
    scheduler time_;
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
