// Finds the job of a cancellation that reached a host which doesn't know it: a caller's retry goes to any host of the zone. The hosts of
// the zone are asked until one has cancelled the job, all have answered, or the caller has stopped waiting.
#pragma once

#include "protocol/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jackdaw::cells {

using protocol::duration;
using protocol::time_point;

enum class cancel_outcome {
    cancelled,
    unknown_job, // no host of the zone has the job
    unanswered // a host has not answered in time
};

class cancel_search {
public:
    using completion = std::function<void(cancel_outcome outcome)>;

    // Numbers of searches on the wire, in place of a submission's number: higher than any of those.
    static constexpr std::uint64_t firstNumber = std::uint64_t(1) << 63;
    static bool isSearch(std::uint64_t number) { return number >= firstNumber; }

    struct question {
        std::string host;
        std::string job;
        std::uint64_t number = 0;
    };

    // hosts: the other live hosts of the zone. deadline: when the caller stops waiting.
    void begin(time_point now, std::string_view job, std::span<const std::string> hosts, time_point deadline, completion done);

    void onAnswer(std::string_view host, std::uint64_t number, bool isCancelled);

    // Asks again and ends searches. A host that is no longer live has no job left: its owners end the jobs of a silent origin.
    void advance(time_point now, std::span<const std::string> hosts);

    // Ends all searches as unanswered: the process is about to end.
    void abandon();

    std::vector<question> takeQuestions();
    std::size_t size() const { return m_searches.size(); }

private:
    struct open_search {
        std::string job;
        std::set<std::string, std::less<>> unanswered;
        time_point askedAt;
        time_point answerBy; // when the caller is answered at the latest
        completion done;
    };

    void ask(time_point now, std::uint64_t number, open_search& search);
    void end(std::uint64_t number, cancel_outcome outcome);

    std::map<std::uint64_t, open_search> m_searches; // by number
    std::vector<question> m_questions;
    std::uint64_t m_lastNumber = firstNumber;
};

} // namespace jackdaw::cells
