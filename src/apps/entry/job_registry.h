// Remembers the submissions that this host coordinates: who waits for which job, and the answers already given.
// Plain bookkeeping on the decision loop's thread; knows nothing of HTTP or upstreams.
#pragma once

#include "protocol/job.h"
#include "protocol/time.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace jackdaw::entry {

using answer_ptr = std::shared_ptr<const protocol::job_answer>;
using answer_hook = std::function<void(const answer_ptr& answer)>;

struct registry_limits {
    std::size_t maxStoredBytes = 64 * 1024 * 1024; // of answers; the oldest are dropped first
    protocol::duration answerRetention = std::chrono::minutes(10);
    protocol::duration recordRetention = std::chrono::hours(1); // that an answered submission is known at all
};

// What is known of a submission when it comes in.
enum class registry_state {
    unknown, // never seen, or so long ago that the record is gone
    open, // accepted, its answer is to come
    retryable, // refused, and nothing of it was started
    answered, // its answer is stored
    forgotten, // answered, but the answer is no longer stored
    mismatch // known under another body
};

struct registry_view {
    registry_state state = registry_state::unknown;
    answer_ptr answer; // only for answered
};

class job_registry {
public:
    using waiter_id = std::uint64_t;

    explicit job_registry(registry_limits limits);
    ~job_registry();

    void setAnswerRetention(protocol::duration retention);

    registry_view find(const protocol::submission_id& submission) const;
    registry_view find(const protocol::submission_id& submission, std::uint64_t bodyHash) const;

    // Opens a record for an unknown or retryable submission.
    void open(const protocol::submission_id& submission, std::uint64_t bodyHash);

    // Adds one who waits for an open job. The hook runs once, in answer().
    waiter_id wait(const protocol::submission_id& submission, answer_hook hook);

    // An open job with this mark is not abandoned when nobody waits for it.
    void keepWithoutWaiters(const protocol::submission_id& submission);

    // True when nobody waits for the open job any more and it isn't kept.
    bool isAbandoned(const protocol::submission_id& submission) const;
    void stopWaiting(const protocol::submission_id& submission, waiter_id waiter);

    // Closes an open job: tells those who wait, and stores the answer. A refusal of which nothing was started is not
    // stored, so that a resubmission may try again.
    void answer(protocol::time_point now, const protocol::submission_id& submission, protocol::job_answer answer);

    // Closes an open job that another host coordinates: tells those who wait, and forgets the submission.
    void release(const protocol::submission_id& submission, protocol::job_answer answer);

    // Drops what is past its retention.
    void expire(protocol::time_point now);

    std::size_t openJobs() const;
    std::size_t storedBytes() const;
    std::size_t records() const;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

// True for failures after which the same submission may be tried again: nothing of it ran, and nobody cancelled it.
bool mayTryAgain(const protocol::job_answer& answer);

} // namespace jackdaw::entry
