#include "crowd/crowd_check.h"

#include <algorithm>
#include <cstdio>
#include <gtest/gtest.h>
#include <mutex>
#include <thread>

namespace cove {

std::string post_head(std::string const& framing, std::string const& path)
{
    return "POST " + path + " HTTP/1.1\r\nHost: " + crowd_host::host_name + "\r\n" + framing +
           "\r\n\r\n";
}

std::string declared(std::size_t bytes)
{
    return "Content-Length: " + std::to_string(bytes);
}

std::string chunk()
{
    return "400\r\n" + std::string(0x400, 'c') + "\r\n";
}

crowd_usage run_crowds(crowd_host const& host, std::vector<crowd_at> const& crowds)
{
    crowd_usage seen;
    std::mutex mutex;
    auto const watch = [&] {
        std::size_t const descriptors = host.usage().descriptors;
        std::lock_guard const lock(mutex);
        seen.descriptors = std::max(seen.descriptors, descriptors);
    };
    std::vector<std::thread> threads;
    for (crowd_at const& each : crowds) {
        threads.emplace_back(
            [&, &each = each] { run_crowd(host.port(each.where), each.plan, watch); });
    }
    for (std::thread& each : threads) {
        each.join();
    }
    return seen;
}

void expect_sound(crowd_host& host, crowd_limits const& limits, crowd_usage const& seen)
{
    ASSERT_TRUE(host.running());
    process_usage const after = host.usage();
    std::printf("peak %zu kB, resident %zu kB, descriptors %zu\n", after.peak_kb, after.resident_kb,
                seen.descriptors);
    EXPECT_LT(after.peak_kb, max_resident_kb);
    EXPECT_LT(after.resident_kb, max_resident_kb);
    EXPECT_LE(seen.descriptors, static_cast<std::size_t>(limits.max_descriptors));
    EXPECT_EQ(host.post("ordinary", false), 200);
    EXPECT_TRUE(host.running());
}

void expect_withstands_all(std::vector<crowd_at> const& crowds, crowd_limits const& limits)
{
    crowd_host host(limits);
    ASSERT_TRUE(host.start());
    crowd_usage const seen = run_crowds(host, crowds);
    expect_sound(host, limits, seen);
}

void expect_withstands(crowd_plan const& plan, crowd_limits const& limits)
{
    expect_withstands_all({{listener::clients, plan}}, limits);
}

} // namespace cove
