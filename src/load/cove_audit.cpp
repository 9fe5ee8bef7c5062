/** @file cove-audit: compares outcomes reported to callers with the targets' journals. */

#include "load/journal_check.h"
#include "settings/program.h"

#include <boost/program_options.hpp>
#include <iostream>

namespace {

using cove::journal_line;
using cove::operation_line;

/** Appends the lines of all files to @p lines. @return false if a file cannot be read. */
template <class Line>
bool read_all(std::vector<std::string> const& paths,
              cove::result<std::vector<Line>> (*read)(std::string const&), std::vector<Line>& lines)
{
    for (std::string const& path : paths) {
        auto const file_lines = read(path);
        if (!file_lines) {
            std::cerr << to_string(file_lines.error()) << "\n";
            return false;
        }
        lines.insert(lines.end(), file_lines->begin(), file_lines->end());
    }
    return true;
}

int audit(std::vector<std::string> const& operations, std::vector<std::string> const& journals)
{
    std::vector<operation_line> operation_lines;
    std::vector<journal_line> journal_lines;
    if (!read_all(operations, cove::read_operation_lines, operation_lines) ||
        !read_all(journals, cove::read_journal_lines, journal_lines)) {
        return cove::exit_usage;
    }
    cove::journal_check_result const check = cove::check_journals(operation_lines, journal_lines);
    for (std::string const& example : check.examples) {
        std::cerr << "violation " << example << "\n";
    }
    std::cout << "answers=" << check.answers << " lost=" << check.lost
              << " doubled=" << check.doubled << " false_not_run=" << check.false_not_run
              << " false_done=" << check.false_done << " wrong_answer=" << check.wrong_answer
              << " cut_off=" << check.cut_off << "\n";
    return check.examples.empty() ? cove::exit_ok : cove::exit_failed;
}

} // namespace

int main(int argc, char** argv)
{
    namespace po = boost::program_options;
    std::vector<std::string> operations;
    std::vector<std::string> journals;
    po::options_description options("Options");
    auto add = options.add_options();
    add("operations", po::value(&operations)->multitoken()->required(),
        "operation logs written by cove-load");
    add("journals", po::value(&journals)->multitoken()->required(),
        "journals written by the targets");
    add("help", "show this help");
    if (auto const done = cove::read_command_line(
            argc, argv, options,
            "cove-audit compares outcomes reported to callers with the journals of the targets.")) {
        return *done;
    }
    return audit(operations, journals);
}
