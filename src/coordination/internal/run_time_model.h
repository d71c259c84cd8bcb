// Estimates run times from finished tasks, for each client and order of magnitude of the declared run time. The
// declared run time is corrected by the actual run times of the client's earlier tasks with similar declarations.
#pragma once

#include "protocol/time.h"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_map>

namespace jackdaw::coordination {

using protocol::duration;
using protocol::time_point;

// Run time on an upstream of factor 1, assumed to be log-normally distributed.
struct run_time_estimate {
    duration mean {};
    duration percentile95 {};
    double logVariance = 0; // variance of the logarithm of the run time
    bool learned = false; // from enough samples of the client; else mainly declared or a default
    time_point lastSampleAt {}; // time of the client's latest sample
};

class run_time_model {
public:
    // A declared run time of zero means that none was declared.
    run_time_estimate estimate(std::string_view client, duration declared) const;
    void addSample(time_point now, std::string_view client, duration declared, duration atFactorOne);

private:
    // Statistics of the logarithm of actual over declared run time; a default stands for a missing declaration.
    struct statistics {
        double samples = 0; // capped, so that the weight of old samples decays
        double mean = 0;
        double variance = 0;
        time_point lastSampleAt {};

        void add(time_point now, double value);
    };

    static const statistics* find(const std::unordered_map<std::uint64_t, statistics>& from, std::uint64_t key);
    void addSampleTo(std::unordered_map<std::uint64_t, statistics>& into, std::uint64_t key, time_point now, double value);

    // Both tables are bounded; a full table is cleared.
    std::unordered_map<std::uint64_t, statistics> m_byClient;
    std::unordered_map<std::uint64_t, statistics> m_byDeclaration; // by client and magnitude of the declaration
};

} // namespace jackdaw::coordination
