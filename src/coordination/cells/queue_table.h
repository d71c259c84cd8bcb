// The queues of one configuration version: which requests are accepted, which service runs their jobs, and under which limits.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace jackdaw::cells {

struct job_queue {
    std::string name;
    std::string host; // of the request, without a port; upper and lower case are the same
    std::string pathPrefix;
    std::string service;
    std::uint32_t priority = 0; // 0 is the most urgent
    std::uint32_t maxAttempts = 1; // failed runs of a task before its job fails
    double slackFactor = 1; // a job's objective is the declared run time of its longest chain of steps times this, plus targetMs
    std::uint32_t targetMs = 0; // part of the objective that does not depend on the run time
    std::uint32_t timeoutMs = 0; // deadline for requests that name none
};

// The form in which hosts are compared: RFC 9110, 4.2.3 makes them case-insensitive.
std::string toComparableHost(std::string_view host);

class queue_table {
public:
    queue_table() = default;
    queue_table(std::uint64_t version, std::vector<job_queue> queues);

    std::uint64_t version() const { return m_version; }
    std::size_t size() const { return m_size; }

    // Returns the queue with the request's host and the longest path prefix that matches; null if there is none. A port in
    // the host is ignored.
    const job_queue* find(std::string_view host, std::string_view path) const;

private:
    std::uint64_t m_version = 0; // 0: no configuration yet
    std::size_t m_size = 0;
    std::map<std::string, std::vector<job_queue>> m_byHost; // by comparable host; longest prefix first
};

} // namespace jackdaw::cells
