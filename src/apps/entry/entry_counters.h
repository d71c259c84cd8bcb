// Counters of one entry host, written by any of its threads and read by the metrics page.
#pragma once

#include "protocol/job.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <string>

namespace jackdaw::entry {

// What a message between this host and others was sent for.
enum class message_purpose {
    task,
    job,
    retry,
    settle,
    stop,
    forward,
    claim,
    heartbeat,
    lease,
    announce,
    config,
    count // number of purposes, none itself
};

class entry_counters {
public:
    void countMessages(message_purpose purpose, std::uint64_t count = 1);
    void countAnswer(const protocol::job_answer& answer);
    void countStart();

    std::uint64_t starts() const;

    // The counters in the Prometheus text format.
    std::string toPrometheus() const;

private:
    static constexpr std::size_t purposes = static_cast<std::size_t>(message_purpose::count);
    static constexpr std::size_t errorKinds = static_cast<std::size_t>(protocol::error_kind::internal) + 1;

    std::array<std::atomic<std::uint64_t>, purposes> m_messages {};
    std::array<std::atomic<std::uint64_t>, errorKinds> m_failures {}; // by error kind
    std::atomic<std::uint64_t> m_complete = 0;
    std::atomic<std::uint64_t> m_starts = 0;
};

} // namespace jackdaw::entry
