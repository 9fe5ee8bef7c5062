/** @file covectl: command line tool for operators. */

#include "ctl/ctl_command.h"

#include <algorithm>
#include <array>
#include <boost/program_options.hpp>
#include <functional>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace {

namespace po = boost::program_options;

using cove::ctl_options;

/** One command of covectl. */
struct command {
    char const* name;
    char const* help;
    char const* required; ///< names of the mandatory options, separated by spaces
    cove::ctl_report (*run)(ctl_options const&);
};

constexpr std::array commands{
    command{"validate", "check a configuration FILE", "file", cove::run_validate},
    command{"diff", "compare FILE with the newest generation in the store", "file store",
            cove::run_diff},
    command{"submit", "submit FILE as the generation that follows --generation",
            "file store generation", cove::run_submit},
    command{"status",
            "show the generation of the store and of every entry host; with --submit-id "
            "show whether that submit was accepted",
            "", cove::run_status},
    command{"wait", "wait until every entry host has at least --generation", "generation",
            cove::run_wait},
    command{"explain",
            "show the entry hosts assigned to a caller, and planned moves and events at --time",
            "lookup store caller service", cove::run_explain},
    command{"drain",
            "submit moves of all services, or of --service, from --zone to --to that start "
            "at --time",
            "store zone to", cove::run_drain},
};

constexpr char const* exit_code_help =
    "Exit codes: 0 success; 1 failed without effect, or invalid configuration; 2 invalid command\n"
    "line; 3 conflict with another submit; 4 outcome unknown; 5 timed out.\n";

po::options_description make_options_description(ctl_options& options)
{
    po::options_description out("Options");
    auto add = out.add_options();
    add("help", "show this help");
    add("json", po::bool_switch(&options.json), "print one JSON object");
    add("file", po::value(&options.file), "configuration file, - for standard input");
    add("store", po::value(&options.store), "IP:port of the platform's store");
    add("hosts", po::value(&options.hosts),
        "host list file, used instead of the store's host list");
    add("lookup", po::value(&options.lookup), "IP:port of a look-up process");
    add("generation", po::value(&options.number),
        "submit, drain: generation that the change is based on; wait: generation to wait for");
    add("submit-id", po::value(&options.submit_id),
        "unique id of a submit; submit and drain default to a random one");
    add("caller", po::value(&options.caller), "caller to explain");
    add("service", po::value(&options.service), "service to explain or to drain");
    add("zone", po::value(&options.zone), "availability zone to drain");
    add("to", po::value(&options.to), "availability zone that takes over");
    add("time", po::value(&options.time),
        "RFC 3339 time, such as 2026-12-04T08:00:00Z; default: now");
    add("step", po::value(&options.step), "share of the traffic that a drain moves at each step");
    add("interval-s", po::value(&options.interval_s), "seconds between the steps of a drain");
    add("timeout-s", po::value(&options.timeout_s),
        "timeout in seconds of a call, or of the whole wait command");
    return out;
}

int usage(std::ostream& out, po::options_description const& options, int exit_code)
{
    out << "covectl COMMAND [options] [FILE]\n\nCommands:\n";
    for (command const& c : commands) {
        out << "  " << c.name << ": " << c.help << "\n";
    }
    out << "\n" << options << "\n" << exit_code_help;
    return exit_code;
}

int usage(std::ostream& out, command const& selected, po::options_description const& options,
          int exit_code)
{
    out << "covectl " << selected.name << ": " << selected.help
        << "\nRequired: " << (*selected.required == '\0' ? "nothing" : selected.required) << "\n\n"
        << options << "\n"
        << exit_code_help;
    return exit_code;
}

bool has_required(command const& selected, po::variables_map const& variables)
{
    std::istringstream names(selected.required);
    for (std::string name; names >> name;) {
        if (variables.count(name) == 0) {
            std::cerr << "covectl " << selected.name << ": --" << name << " is required\n";
            return false;
        }
    }
    return true;
}

int print(cove::ctl_report const& report, bool json)
{
    if (json) {
        std::cout << report.values->dump() << "\n";
        return report.exit_code;
    }
    bool const succeeded = report.exit_code == cove::ctl_ok;
    for (std::string const& line : report.lines) {
        (succeeded ? std::cout : std::cerr) << line << "\n";
    }
    return report.exit_code;
}

} // namespace

int main(int argc, char** argv)
{
    ctl_options options;
    auto const description = make_options_description(options);
    std::string const name = argc > 1 ? argv[1] : "";
    auto const* const selected = std::find_if(commands.begin(), commands.end(),
                                              [&](command const& c) { return c.name == name; });
    if (selected == commands.end()) {
        bool const help_requested = name == "--help";
        return usage(help_requested ? std::cout : std::cerr, description,
                     help_requested ? cove::ctl_ok : cove::ctl_usage);
    }
    po::variables_map variables;
    try {
        po::positional_options_description file;
        file.add("file", 1);
        po::store(
            po::command_line_parser(argc - 1, argv + 1).options(description).positional(file).run(),
            variables);
        po::notify(variables);
    }
    catch (po::error const& error) {
        std::cerr << error.what() << "\n";
        return usage(std::cerr, *selected, description, cove::ctl_usage);
    }
    if (variables.count("help") != 0) {
        return usage(std::cout, *selected, description, cove::ctl_ok);
    }
    if (!has_required(*selected, variables)) {
        return cove::ctl_usage;
    }
    try {
        return print(selected->run(options), options.json);
    }
    catch (nlohmann::json::exception const& error) {
        return print(cove::report_error(cove::ctl_failed, {"answer.read", name, error.what()}),
                     options.json);
    }
}
