// Replays load patterns on one simulated cell. Prints for each the worth that the jobs earned and how long the replay took.
// usage: cell_load_bench [PATTERN_NAME_PREFIX]
#include "coordination/cells/tests/cell_load.h"

#include <chrono>
#include <cstdio>
#include <string_view>

using namespace jackdaw::cells::tests;

namespace {

struct named_pattern {
    const char* name;
    load_pattern pattern;
};

void print(const named_pattern& named)
{
    constexpr int seeds = 8;
    load_result sum;
    double before = 0;
    double after = 0;
    const auto begin = std::chrono::steady_clock::now();
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const load_result result = replayLoad(named.pattern, seed);
        sum.worth += result.worth / seeds;
        sum.refused += result.refused / seeds;
        sum.lateRefused += result.lateRefused / seeds;
        for (std::size_t kind = 0; kind < jobClasses.size(); ++kind) {
            sum.worthOfClass[kind] += result.worthOfClass[kind] / seeds;
            sum.worthOfLargest[kind] += result.worthOfLargest[kind] / seeds;
        }
        before += inTimeWithin(result, 1, 4) / seeds;
        after += inTimeWithin(result, 10, 12) / seeds;
        sum.doubleRuns += result.doubleRuns;
        sum.overfills += result.overfills;
    }
    const std::chrono::duration<double> took = std::chrono::steady_clock::now() - begin;
    std::printf("%-42s worth %.3f  by class %.3f %.3f %.3f  largest %.3f %.3f %.3f  refused %.3f late %.3f  in time before/after burst %.3f %.3f  faults %zu  %.1f s\n", named.name, sum.worth, sum.worthOfClass[0], sum.worthOfClass[1], sum.worthOfClass[2],
        sum.worthOfLargest[0], sum.worthOfLargest[1], sum.worthOfLargest[2], sum.refused, sum.lateRefused, before, after, sum.doubleRuns + sum.overfills, took.count());
}

} // namespace

int main(int count, char** arguments)
{
    using jackdaw::cells::tests::upstream_fault;
    constexpr auto length = std::chrono::seconds(24);
    for (const named_pattern& named : { named_pattern { "30/s", { 30, 1, length } },
             { "50/s", { 50, 1, length } },
             { "50/s, bursts of 1.8", { 50, 1.8, length } },
             { "67/s, bursts of 1.8", { 67, 1.8, length } },
             { "87/s, bursts of 1.8", { 87, 1.8, length } },
             { "50/s, two fail all", { 50, 1, length, upstream_fault::failing } },
             { "50/s, two stand still", { 50, 1, length, upstream_fault::hung_tasks } },
             { "50/s, two silent", { 50, 1, length, upstream_fault::silent } },
             { "50/s, all carry out 5 % late", { 50, 1, length, upstream_fault::delayed_calls, 16 } },
             { "50/s, three 6 times slower", { 50, 1, length, upstream_fault::none, 2, 6 } },
             { "360/s, 117 upstreams", { 360, 1, length, upstream_fault::none, 0, 1, 117 } },
             { "490/s, 117 upstreams, bursts of 1.8", { 490, 1.8, length, upstream_fault::none, 0, 1, 117 } },
             // The upstreams and hosts of a deployment of 0.12 of a core: 0.12 ms and 0.24 ms of CPU for a task.
             { "owner 1 ms a task, 124/s, bursts of 1.8", { 124, 1.8, length, upstream_fault::none, 0, 1, 58, 0.85, std::chrono::milliseconds(1) } },
             { "owner 2 ms a task, 90/s, bursts of 1.8", { 90, 1.8, length, upstream_fault::none, 0, 1, 58, 0.85, std::chrono::milliseconds(2) } },
             { "owner 2 ms a task, 124/s", { 124, 1, length, upstream_fault::none, 0, 1, 58, 0.85, std::chrono::milliseconds(2) } },
             { "owner 2 ms a task, 124/s, bursts of 4", { 124, 4, length, upstream_fault::none, 0, 1, 58, 0.85, std::chrono::milliseconds(2) } },
             { "owner 1 ms a task, 124/s, bursts of 4", { 124, 4, length, upstream_fault::none, 0, 1, 58, 0.85, std::chrono::milliseconds(1) } },
             { "owner 2 ms a task, 124/s, bursts of 1.8", { 124, 1.8, length, upstream_fault::none, 0, 1, 58, 0.85, std::chrono::milliseconds(2) } } }) {
        if (count < 2 || std::string_view(named.name).starts_with(arguments[1]))
            print(named);
    }
    return 0;
}
