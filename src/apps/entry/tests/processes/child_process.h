// A process started by a test, ended by its id at the latest when this object goes.
#pragma once

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace jackdaw::tests {

class child_process {
public:
    // The output of the process goes to the file.
    child_process(const std::string& program, const std::vector<std::string>& arguments, const std::string& outputFile);
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    void signal(int signalNumber) const;

    // The exit code once the process has ended; -1 when a signal ended it.
    std::optional<int> exitCode();

private:
    pid_t m_pid = -1; // -1: ended and waited for
    std::optional<int> m_exitCode;
};

} // namespace jackdaw::tests
