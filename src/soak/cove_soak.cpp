/** @file cove-soak: simulates entry hosts on a fake network under seeded random faults. */

#include "settings/program.h"
#include "soak/soak_type.h"
#include "table/mechanisms.h"

#include <algorithm>
#include <boost/program_options.hpp>
#include <cstdio>

namespace {

namespace po = boost::program_options;

/** Seeds to try until a run fails only because the mechanism is disabled. */
constexpr std::uint64_t max_seeds_per_mechanism = 12;

void print_outcome(cove::soak_outcome const& out)
{
    if (!out.violations.empty()) {
        for (std::string const& line : out.recent_events) {
            std::printf("event %s\n", line.c_str());
        }
        for (std::string const& line : out.violations) {
            std::printf("violation seed=%lu %s\n", out.seed, line.c_str());
        }
    }
    std::printf("soak seed=%lu steps=%lu hash=%016lx violations=%zu done=%lu not_run=%lu "
                "unknown=%lu shifted_over_cap=%lu region_over_limit=%lu\n",
                out.seed, out.steps, out.hash, out.violations.size(), out.done, out.not_run,
                out.unknown, out.shifted_over_cap, out.region_over_limit);
}

bool is_clean(cove::soak_outcome const& out)
{
    return out.violations.empty() && out.shifted_over_cap == 0 && out.region_over_limit == 0;
}

int report_outcome(cove::soak_outcome const& out)
{
    print_outcome(out);
    return is_clean(out) ? cove::exit_ok : cove::exit_failed;
}

/** Looks for a seed whose run fails without the disabled mechanism and is clean with it. */
int run_with_disabled_mechanism(cove::soak_options options)
{
    cove::soak_outcome out;
    for (std::uint64_t attempt = 0; attempt < max_seeds_per_mechanism; ++attempt, ++options.seed) {
        out = cove::run_soak(options);
        if (!is_clean(out) && is_clean(cove::run_soak({options.seed, options.steps, ""}))) {
            return report_outcome(out);
        }
    }
    out.violations.clear(); // the last run's violations, if any, also occur with all mechanisms
    return report_outcome(out);
}

bool is_known_mechanism(std::string const& name)
{
    return name.empty() ||
           std::ranges::any_of(cove::mechanism_table,
                               [&](cove::mechanism_row const& row) { return name == row.name; });
}

} // namespace

int main(int argc, char** argv)
{
    cove::soak_options options;
    po::options_description description("cove-soak simulates entry hosts under seeded faults");
    description.add_options()("help", "show this text")(
        "list-breaks", "print the mechanisms that can be disabled")(
        "seed", po::value(&options.seed)->default_value(options.seed), "seed of the run")(
        "steps", po::value(&options.steps)->default_value(options.steps), "events to process")(
        "break", po::value(&options.disabled),
        "disable this mechanism; tries seeds from --seed on until a check fails");
    po::variables_map arguments;
    try {
        po::store(po::parse_command_line(argc, argv, description), arguments);
        po::notify(arguments);
    }
    catch (po::error const& error) {
        std::fprintf(stderr, "%s\n", error.what());
        return cove::exit_usage;
    }
    if (arguments.contains("help")) {
        std::printf("%s", (std::ostringstream() << description).str().c_str());
        return cove::exit_ok;
    }
    if (arguments.contains("list-breaks")) {
        for (cove::mechanism_row const& row : cove::mechanism_table) {
            std::printf("%s\n", row.name);
        }
        return cove::exit_ok;
    }
    if (!is_known_mechanism(options.disabled)) {
        std::fprintf(stderr, "unknown mechanism %s; --list-breaks prints the known ones\n",
                     options.disabled.c_str());
        return cove::exit_usage;
    }
    return options.disabled.empty() ? report_outcome(cove::run_soak(options))
                                    : run_with_disabled_mechanism(options);
}
