#include "deploy/child_process.h"

#include <csignal>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace cove {

namespace {

constexpr milliseconds poll_interval{2};
constexpr int exec_failed_status = 127; ///< as a shell reports it
constexpr mode_t log_file_mode = 0644;

} // namespace

child_process::child_process(std::vector<std::string> command, std::string log_file)
    : command_(std::move(command)), log_file_(std::move(log_file))
{
}

child_process::~child_process()
{
    if (running()) {
        signal(SIGKILL);
        ::waitpid(pid_, nullptr, 0);
    }
}

bool child_process::start()
{
    std::vector<char*> arguments;
    for (std::string& argument : command_) {
        arguments.push_back(argument.data());
    }
    arguments.push_back(nullptr);
    int const output =
        ::open(log_file_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, log_file_mode);
    pid_ = ::fork();
    if (pid_ == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL); // ends the child even if this process is killed
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        ::execv(arguments.front(), arguments.data());
        ::_exit(exec_failed_status);
    }
    ::close(output);
    return pid_ > 0;
}

void child_process::signal(int signal) const
{
    if (pid_ > 0) {
        ::kill(pid_, signal);
    }
}

bool child_process::running()
{
    return !wait(milliseconds::zero()) && pid_ > 0;
}

std::optional<int> child_process::wait(milliseconds timeout)
{
    mono_time const end = read_clocks().mono + timeout;
    while (pid_ > 0) {
        int status = 0;
        if (::waitpid(pid_, &status, WNOHANG) == pid_) {
            pid_ = -1;
            status_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
            break;
        }
        if (read_clocks().mono >= end) {
            return std::nullopt;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return status_;
}

} // namespace cove
