#include "settings/program.h"

#include <boost/program_options.hpp>
#include <csignal>
#include <cstdio>
#include <iostream>

namespace cove {

namespace {

sigset_t stop_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace

std::optional<int> read_command_line(int argc, char const* const* argv,
                                     boost::program_options::options_description const& options,
                                     std::string const& description)
{
    namespace po = boost::program_options;
    po::variables_map variables;
    try {
        po::store(po::parse_command_line(argc, argv, options), variables);
        if (variables.count("help") != 0) {
            std::cout << description << "\n\n" << options;
            return exit_ok;
        }
        po::notify(variables);
    }
    catch (po::error const& error) {
        std::cerr << error.what() << "\n" << options;
        return exit_usage;
    }
    return std::nullopt;
}

std::optional<program_arguments> parse_program_arguments(int argc, char const* const* argv,
                                                         std::string const& description,
                                                         std::string const& settings_help,
                                                         int& exit_code)
{
    namespace po = boost::program_options;
    po::options_description options("Options");
    program_arguments call;
    auto add = options.add_options();
    add("settings", po::value(&call.settings_path), "JSON settings file");
    add("check", po::bool_switch(&call.check_only), "check the settings and stop");
    add("help", "show this help");
    auto const done = read_command_line(argc, argv, options, description);
    if (done) {
        exit_code = *done;
        if (exit_code == exit_ok) {
            std::cout << "\nSettings:\n" << settings_help;
        }
        return std::nullopt;
    }
    if (call.settings_path.empty()) {
        std::cerr << "--settings FILE is required\n" << options;
        exit_code = exit_usage;
        return std::nullopt;
    }
    auto text = read_file(call.settings_path);
    if (!text) {
        std::cerr << to_string(text.error()) << "\n";
        exit_code = exit_usage;
        return std::nullopt;
    }
    call.settings_text = std::move(*text);
    return call;
}

void block_stop_signals()
{
    sigset_t const signals = stop_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

void wait_for_stop_signal()
{
    sigset_t const signals = stop_signals();
    int received = 0;
    sigwait(&signals, &received);
}

} // namespace cove
