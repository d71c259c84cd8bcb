// The queues of one configuration version: which jobs are taken, by which service they run, and under which rules.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace jackdaw::cells {

struct job_queue {
    std::string name;
    std::string host; // of the request, without a port
    std::string pathPrefix;
    std::string service;
    std::uint32_t priority = 0; // 0 comes first
    std::uint32_t maxAttempts = 1; // failed runs of a task before its job fails
    double slackFactor = 1; // of a job's objective
    std::uint32_t targetMs = 0; // added to the objective
    std::uint32_t timeoutMs = 0; // for a caller that names no deadline
};

class queue_table {
public:
    queue_table() = default;
    queue_table(std::uint64_t version, std::vector<job_queue> queues);

    std::uint64_t version() const { return m_version; }
    std::size_t size() const { return m_size; }

    // The queue whose host is the request's and whose prefix is the longest that the path begins with; null for none.
    const job_queue* find(std::string_view host, std::string_view path) const;

private:
    std::uint64_t m_version = 0; // 0: no configuration yet
    std::size_t m_size = 0;
    std::map<std::string, std::vector<job_queue>, std::less<>> m_byHost; // longest prefix first
};

} // namespace jackdaw::cells
