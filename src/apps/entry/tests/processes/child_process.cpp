// Starting and ending of a test's processes.
#include "apps/entry/tests/processes/child_process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>

#include <csignal>
#include <stdexcept>

namespace jackdaw::tests {

child_process::child_process(const std::string& program, const std::vector<std::string>& arguments, const std::string& outputFile)
{
    std::vector<char*> argv { const_cast<char*>(program.c_str()) };
    for (const std::string& argument : arguments)
        argv.push_back(const_cast<char*>(argument.c_str()));
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, outputFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    const int failure = posix_spawn(&m_pid, program.c_str(), &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failure != 0)
        throw std::runtime_error("can't start " + program);
}

child_process::~child_process()
{
    if (exitCode())
        return;
    kill(m_pid, SIGKILL);
    waitpid(m_pid, nullptr, 0);
}

void child_process::signal(int signalNumber) const
{
    if (m_pid > 0)
        kill(m_pid, signalNumber);
}

std::optional<int> child_process::exitCode()
{
    int status = 0;
    if (m_pid > 0 && waitpid(m_pid, &status, WNOHANG) == m_pid) {
        m_exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
        m_pid = -1;
    }
    return m_exitCode;
}

} // namespace jackdaw::tests
