#pragma once
/** @file A child process. */

#include "core/time_type.h"

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace cove {

/** Runs a program; the destructor kills it by its process id if it is still running. */
class child_process {
public:
    /** @param log_file file to which standard output and standard error are appended. */
    child_process(std::vector<std::string> command, std::string log_file);
    ~child_process();
    child_process(child_process const&) = delete;
    child_process& operator=(child_process const&) = delete;
    child_process(child_process&&) = delete;
    child_process& operator=(child_process&&) = delete;

    /** Starts the program, which must not be running. @return whether fork() succeeded. */
    bool start();

    /** Sends @p signal to the process if it is running. */
    void signal(int signal) const;

    bool running();

    /** @return the process id; -1 while it is not running. */
    [[nodiscard]] pid_t id() const { return pid_; }

    /**
     * Waits up to @p timeout for the process to end.
     * @return its exit status, the negated signal that ended it, or nothing if it still runs.
     */
    std::optional<int> wait(milliseconds timeout);

private:
    std::vector<std::string> command_;
    std::string log_file_;
    pid_t pid_ = -1; ///< -1 while it is not running
    int status_ = 0;
};

} // namespace cove
