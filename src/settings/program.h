#pragma once
/** @file Command line and signal handling shared by all long-running programs. */

#include "settings/settings_table.h"

#include <functional>
#include <optional>
#include <string>

namespace boost::program_options {
class options_description;
}

namespace cove {

inline constexpr int exit_ok = 0;
inline constexpr int exit_failed = 1; ///< run-time failure
inline constexpr int exit_usage = 2;  ///< invalid command line or settings

/**
 * Parses a command line into the variables bound to @p options, which must include `--help`.
 * @param description text that --help prints above the options.
 * @return the exit code if the program has to exit (--help or invalid options), else nothing.
 */
std::optional<int> read_command_line(int argc, char const* const* argv,
                                     boost::program_options::options_description const& options,
                                     std::string const& description);

/** The parsed command line and the text of the settings file. */
struct program_arguments {
    std::string settings_path;
    std::string settings_text;
    bool check_only = false;
};

/**
 * Parses `--settings FILE`, `--check` and `--help`, and reads the settings file.
 * @param settings_help help text of the settings table, printed by --help.
 * @param exit_code set if the program has to exit.
 * @return the parsed command line, or nothing if the program has to exit.
 */
std::optional<program_arguments> parse_program_arguments(int argc, char const* const* argv,
                                                         std::string const& description,
                                                         std::string const& settings_help,
                                                         int& exit_code);

/**
 * Blocks SIGTERM and SIGINT in this thread and in the threads it starts, and ignores SIGPIPE.
 * Call it first in main(), so that no thread is started with the signals unblocked.
 */
void block_stop_signals();

/** Blocks until SIGTERM or SIGINT arrives. */
void wait_for_stop_signal();

/**
 * Entry point of a program with a settings file: parses the command line and the settings, then
 * calls @p run unless --help or --check was given.
 * @param description one line for --help.
 * @param run main function of the program; returns the exit code.
 */
template <class Settings>
int run_program(int argc, char const* const* argv, std::string const& description,
                settings_table<Settings> const& table,
                std::function<int(Settings const&)> const& run)
{
    block_stop_signals();
    int exit_code = exit_ok;
    auto const call = parse_program_arguments(argc, argv, description, table.help(), exit_code);
    if (!call) {
        return exit_code;
    }
    auto const settings = table.parse(call->settings_text, call->settings_path);
    if (!settings) {
        std::fprintf(stderr, "%s\n", to_string(settings.error()).c_str());
        return exit_usage;
    }
    if (call->check_only) {
        std::printf("%s: settings are valid\n", call->settings_path.c_str());
        return exit_ok;
    }
    return run(*settings);
}

} // namespace cove
