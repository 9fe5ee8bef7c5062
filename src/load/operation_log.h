#pragma once
/** @file Log of operations kept by callers and journals kept by targets, as JSON Lines. */

#include "core/error.h"
#include "core/time_type.h"

#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>
#include <vector>

namespace cove {

/** A line of the callers' log: the final answer that a caller received for an operation. */
struct operation_line {
    std::string operation;    ///< operation id
    std::uint64_t intent = 0; ///< logical request; kept when it is retried under a new operation id
    std::string request_class;
    bool idempotent = false;
    std::string outcome;    ///< done, not_run, unknown or lost
    std::string answer;     ///< check of the body: `own`, `wrong`, or empty if unchecked
    std::string entry;      ///< entry host that answered
    std::string step;       ///< processing step that caused the error, if any
    microseconds latency{}; ///< since the scheduled start
};

/** Event recorded by a journal line. */
enum class journal_event { started, finished, cancelled, leaving };

/** A line of a target's journal. */
struct journal_line {
    std::string operation; ///< empty for events of the target itself
    std::string request_class;
    journal_event event = journal_event::started;
    wall_time at;
};

/** Appends JSON lines to a file and flushes after each. Thread-safe. */
class json_lines_writer {
public:
    /** @param path file to append to; if empty, lines are discarded. */
    explicit json_lines_writer(std::string const& path);

    void write(operation_line const& line);
    void write(journal_line const& line);

private:
    void append_line(std::string const& text);

    std::mutex mutex_;
    std::ofstream file_;
};

/** @return all complete lines of @p path, or an error if it cannot be read or parsed. */
result<std::vector<operation_line>> read_operation_lines(std::string const& path);

/** @return all complete lines of @p path, or an error if it cannot be read or parsed. */
result<std::vector<journal_line>> read_journal_lines(std::string const& path);

} // namespace cove
