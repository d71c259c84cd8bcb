// What a leader knows of one peer's log.
#pragma once

#include "protocol/time.h"

#include <algorithm>
#include <cstdint>
#include <deque>

namespace jackdaw::coordination {

enum class raft_progress_mode {
    probe, // next is a guess: one append, then wait for the answer
    replicate, // appends follow each other without waiting, up to a window
    snapshot // what the peer needs is compacted
};

struct raft_progress {
    raft_progress_mode mode = raft_progress_mode::probe;
    std::uint64_t match = 0; // replicated for certain; below next
    std::uint64_t next = 1; // to be sent next
    bool isProbeInFlight = false; // probe only: the entries are on their way
    std::uint64_t snapshotIndex = 0; // snapshot only
    std::deque<std::uint64_t> inflight; // replicate only: the last index of each append that is not yet answered
    protocol::time_point lastSent;
    protocol::time_point lastHeard;
    protocol::time_point snapshotSentAt;

    void replicateFrom(std::uint64_t index)
    {
        mode = raft_progress_mode::replicate;
        next = index;
        inflight.clear();
    }

    void probeFrom(std::uint64_t index)
    {
        mode = raft_progress_mode::probe;
        next = index;
        isProbeInFlight = false;
        inflight.clear();
    }

    void acknowledge(std::uint64_t index)
    {
        match = std::max(match, index);
        next = std::max(next, match + 1);
        while (!inflight.empty() && inflight.front() <= index)
            inflight.pop_front();
    }
};

} // namespace jackdaw::coordination
