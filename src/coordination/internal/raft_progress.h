// Replication progress of one peer, as the leader tracks it.
#pragma once

#include "protocol/time.h"

#include <algorithm>
#include <cstdint>
#include <deque>

namespace jackdaw::coordination {

enum class raft_progress_mode {
    probe, // next is an estimate: one append is sent, then the reply is awaited
    replicate, // appends are pipelined up to maxInflightAppends
    snapshot // the entries that the peer needs are compacted: it needs a snapshot
};

struct raft_progress {
    raft_progress_mode mode = raft_progress_mode::probe;
    std::uint64_t match = 0; // highest index known to be replicated; below next
    std::uint64_t next = 1; // index of the next entry to send
    bool isProbeInFlight = false; // probe only: an append was sent and is not yet answered
    std::uint64_t snapshotIndex = 0; // snapshot only: index of the snapshot to send, or last sent
    std::deque<std::uint64_t> inflight; // replicate only: the last index of each unanswered append
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
