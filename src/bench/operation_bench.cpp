/** @file operation-bench: reducer time per operation and memory per finished operation. */

#include "node/node.h"

#include <chrono>
#include <cstdio>
#include <malloc.h>
#include <string>

namespace {

using namespace cove;

using bench_clock = std::chrono::steady_clock;

constexpr int measured_operations = 20'000;

/** Parameters of one measurement. */
struct bench_size {
    int targets;      ///< in all zones
    int zone_targets; ///< of these, in the zone of the node
    int records;      ///< operations finished before the measurement
};

/** A node that runs operations one at a time; calls to targets are answered immediately. */
class bench_node {
public:
    explicit bench_node(bench_size const& size)
        : state_(make_node({node_id{"e1"}, zone_id{"z0"}, incarnation_id{7}}, 1))
    {
        host_list hosts;
        hosts.version = 1;
        hosts.entry_hosts.push_back({node_id{"e1"}, zone_id{"z0"}, "127.0.0.1:1", "127.0.0.1:2"});
        for (int i = 0; i < size.targets; ++i) {
            int const zone = i < size.zone_targets ? 0 : 1 + i % 87;
            hosts.targets.push_back({target_id{"t" + std::to_string(i)}, service_id{"s"},
                                     zone_id{"z" + std::to_string(zone)}, "127.0.0.1:3"});
        }
        deployment config;
        config.services.push_back({service_id{"s"}, 4, 100, {{class_id{"write"}, false}}});
        step(host_list_changed{std::make_shared<host_list>(hosts)});
        step(config_changed{generation{1}, std::make_shared<deployment>(config)});
        step(wake_due{});
    }

    void run(int operations)
    {
        for (int i = 0; i < operations; ++i) {
            now_.mono += microseconds(100);
            ++nonce_;
            auto const effects =
                step(caller_request{nonce_, operation_id{incarnation_id{7}, period_id{1}, nonce_},
                                    service_id{"s"}, class_id{"write"}, seconds(1), body_});
            for (node_effect const& effect : effects) {
                if (auto const* call = std::get_if<call_target>(&effect)) {
                    step(call_result{call->key, call_verdict::answered, 200, body_, ""});
                    ++done_;
                }
            }
        }
    }

    int done() const { return done_; }
    std::size_t record_bytes() const { return state_.operations.finished.bytes; }
    std::size_t records() const { return state_.operations.finished.count; }

private:
    node_effects step(node_event_body body) { return reduce(state_, {now_, std::move(body)}); }

    node_state state_;
    instant now_{mono_time(seconds(100)), wall_time(seconds(100))};
    payload body_ = make_payload(std::string(200, 'x'));
    std::uint64_t nonce_ = 0;
    int done_ = 0;
};

void measure(bench_size const& size)
{
    bench_node node(size);
    std::size_t const heap_before = mallinfo2().uordblks;
    node.run(size.records);
    std::size_t const heap_used = mallinfo2().uordblks - heap_before;
    int const done_before = node.done();
    auto const start = bench_clock::now();
    node.run(measured_operations);
    std::chrono::duration<double, std::micro> const elapsed = bench_clock::now() - start;
    int const done = node.done() - done_before;
    std::printf(
        R"({"targets":%d,"zone_targets":%d,"records":%d,"done":%d,"us_per_operation":%.2f,)"
        R"("heap_bytes_per_record":%zu,"counted_bytes_per_record":%zu})"
        "\n",
        size.targets, size.zone_targets, size.records, done, elapsed.count() / measured_operations,
        heap_used / static_cast<std::size_t>(size.records), node.record_bytes() / node.records());
}

} // namespace

int main()
{
    for (int const records : {100, 10'000, 100'000}) {
        measure({120, 20, records});
    }
    for (bench_size const& size : {bench_size{1300, 20, 100}, bench_size{1300, 100, 100},
                                   bench_size{26'000, 20, 100}, bench_size{26'000, 300, 100}}) {
        measure(size);
    }
    return 0;
}
