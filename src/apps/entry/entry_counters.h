// What one thread of an entry host counts; the metrics page sums over the threads.
#pragma once

#include "protocol/job.h"
#include "state/metrics.h"

#include <array>
#include <cstdint>

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

// Belongs to one thread.
class entry_counters {
public:
    explicit entry_counters(state::metrics& page);

    void countMessages(message_purpose purpose, std::uint64_t count = 1) { m_messages[static_cast<std::size_t>(purpose)]->add(count); }
    void countStart() { m_starts->add(); }

    // An answer that a caller or another host gets.
    void countAnswer(const protocol::job_answer& answer);

    // The time from a job's arrival on this host to its answer.
    void recordJobTime(protocol::duration time) { m_jobTimes->record(time); }

private:
    static constexpr std::size_t purposes = static_cast<std::size_t>(message_purpose::count);
    static constexpr std::size_t errorKinds = static_cast<std::size_t>(protocol::error_kind::internal) + 1;

    std::array<state::counter*, purposes> m_messages {};
    std::array<state::counter*, errorKinds> m_refusals {}; // by error kind; the first is not used
    state::counter* m_complete;
    state::counter* m_failed; // something of the job may have run
    state::counter* m_refused; // nothing of the job ran
    state::counter* m_starts;
    state::latency_histogram* m_jobTimes;
};

} // namespace jackdaw::entry
