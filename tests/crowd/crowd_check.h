#pragma once
/** @file What every crowd test checks, and the requests that crowds are made of. */

#include "crowd/client_crowd.h"
#include "crowd/crowd_host.h"

#include <vector>

namespace cove {

constexpr std::size_t max_resident_kb = std::size_t{100} * 1024; ///< at memory_mb 160
constexpr std::size_t body_limit = 1 << 20;

constexpr char const* chunked = "Transfer-Encoding: chunked";

/** @return the header of a POST to @p path. @param framing field that delimits the body. */
std::string post_head(std::string const& framing, std::string const& path = "/a/x");

/** @return the field that announces a body of @p bytes. */
std::string declared(std::size_t bytes);

/** @return a chunk that is sent over and over. */
std::string chunk();

/** A crowd at one of the addresses of the host. */
struct crowd_at {
    listener where = listener::clients;
    crowd_plan plan;
};

/** Highest usage that was seen while crowds ran. */
struct crowd_usage {
    std::size_t descriptors = 0;
};

/** Runs all crowds at the same time. */
crowd_usage run_crowds(crowd_host const& host, std::vector<crowd_at> const& crowds);

/** Expects that @p host lives, stayed within the bounds and serves an ordinary request. */
void expect_sound(crowd_host& host, crowd_limits const& limits, crowd_usage const& seen);

/** Expects that a host withstands @p crowds. */
void expect_withstands_all(std::vector<crowd_at> const& crowds, crowd_limits const& limits = {});

/** Expects that a host withstands a crowd at the address for clients. */
void expect_withstands(crowd_plan const& plan, crowd_limits const& limits = {});

} // namespace cove
