// Decides when a call to an upstream counts as unanswered.
//
// Load pattern: a burst of starts fills the owner's link, and every call waits behind the owner's own bytes for longer than an
// upstream takes to answer. A call that waits there has not failed; to stop it and to start its task elsewhere would send more
// bytes over the same link. Calls on a shared link are answered about in the order in which they were sent. A call is therefore
// unanswered when calls that were sent later have been answered, or when nothing has been answered for longer than answers
// take. While later calls wait as well, it is the link that they share.
#pragma once

#include "protocol/time.h"

#include <set>

namespace jackdaw::cells::internal {

using protocol::duration;
using protocol::time_point;

class call_watch {
public:
    void onSent(time_point now) { m_pending.insert(now); }

    // The call that was sent at sentAt has been answered, or its connection has failed.
    void onEnded(time_point now, time_point sentAt, bool isAnswered);

    // limit: a call that waits for so long counts as unanswered in any case.
    bool isUnanswered(time_point now, time_point sentAt, duration limit) const;

    // Time in which nearly all answers come at present.
    duration answerTime() const;

    // How long a call that is sent now is expected to wait for its answer.
    duration expectedWait(time_point now) const;

private:
    std::multiset<time_point> m_pending; // when the calls under way were sent
    time_point m_newestAnswered; // when the answered call that was sent last was sent
    time_point m_lastAnswerAt;
    duration m_lastTime {}; // that the last answer took
    duration m_meanTime {}; // moving averages over the answers, and of their deviation from the mean
    duration m_deviation {};
};

} // namespace jackdaw::cells::internal
