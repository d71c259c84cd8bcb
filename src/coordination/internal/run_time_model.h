// Run times learned from finished tasks, for each client and kind of task. What a client declares is a hint that is
// corrected by what its tasks of about the same declaration took.
#pragma once

#include "protocol/time.h"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_map>

namespace jackdaw::coordination {

using protocol::duration;
using protocol::time_point;

// Run time on an upstream of factor 1, taken as log-normal.
struct run_time_estimate {
    duration mean {};
    duration percentile95 {}; // 95 tasks in 100 take less
    double logVariance = 0;
    bool learned = false; // from tasks of the client; else only declared or assumed
    time_point lastSampleAt {}; // when a task of the client was last learned from
};

class run_time_model {
public:
    // A declaration of zero is none.
    run_time_estimate estimate(std::string_view client, duration declared) const;
    void addSample(time_point now, std::string_view client, duration declared, duration atFactorOne);

private:
    // Of the logarithm of actual over declared run time, or over a fixed default where nothing is declared.
    struct statistics {
        double samples = 0; // capped, so that old ones fade out
        double mean = 0;
        double variance = 0;
        time_point lastSampleAt {};

        void add(time_point now, double value);
    };

    static const statistics* find(const std::unordered_map<std::uint64_t, statistics>& from, std::uint64_t key);
    void addSampleTo(std::unordered_map<std::uint64_t, statistics>& into, std::uint64_t key, time_point now, double value);

    // Both are bounded; a full table is emptied and learned anew.
    std::unordered_map<std::uint64_t, statistics> m_byClient;
    std::unordered_map<std::uint64_t, statistics> m_byDeclaration; // client and order of magnitude of the declaration
};

} // namespace jackdaw::coordination
