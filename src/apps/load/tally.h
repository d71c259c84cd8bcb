// Counts the outcomes of a load and derives its two measures: slowdown, and wasted messages for each task.
#pragma once

#include "apps/load/service_counts.h"
#include "protocol/job.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace jackdaw::load {

using protocol::duration;

struct job_timing {
    duration response {}; // from the planned arrival to the answer
    duration ideal {}; // without waiting or retries
};

class tally {
public:
    void recordComplete(std::size_t tasks, job_timing timing);
    void recordFailure(std::size_t tasks, protocol::error_kind kind);
    // No whole HTTP answer came.
    void recordUnanswered(std::size_t tasks);
    // An answer that is not the caller's own and whole.
    void recordBroken(std::size_t tasks);
    // A second answer to the same submission; isContradiction when both are complete and differ.
    void recordResubmission(bool isComplete, bool isContradiction);
    void recordCancel() { ++m_cancels; }
    // Submissions that were told "not run" although the upstreams saw a start.
    void recordUntrueRefusals(std::size_t count) { m_untrueRefusals += count; }

    // False when an answer was broken, contradictory or untrue.
    bool isSound() const;

    // The summary of the run: one flat object.
    nlohmann::ordered_json summary(const message_counts& messages, const upstream_counts& upstreams) const;

    // Everything that was counted.
    nlohmann::ordered_json details(const message_counts& messages, const upstream_counts& upstreams) const;

    std::uint64_t jobs() const { return m_jobs; }
    std::uint64_t complete() const { return m_complete; }

private:
    double wastedPerTask(const message_counts& messages, const upstream_counts& upstreams) const;
    double needed(const upstream_counts& upstreams) const;

    std::uint64_t m_jobs = 0;
    std::uint64_t m_complete = 0;
    std::uint64_t m_refused = 0; // failed with proof that nothing ran
    std::uint64_t m_unanswered = 0;
    std::uint64_t m_broken = 0;
    std::uint64_t m_tasks = 0;
    std::uint64_t m_resubmissions = 0;
    std::uint64_t m_resubmissionsComplete = 0;
    std::uint64_t m_contradictions = 0;
    std::uint64_t m_cancels = 0;
    std::uint64_t m_untrueRefusals = 0;
    std::map<std::string, std::uint64_t, std::less<>> m_failuresByKind;
    std::vector<double> m_slowdowns; // of the complete jobs
    std::vector<double> m_addedMs; // response minus ideal, of the complete jobs
};

// The value below which the given share of the values lies; 0 when there are none.
double quantile(std::vector<double> values, double share);

} // namespace jackdaw::load
