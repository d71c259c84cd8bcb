// Describes a load: arrivals, sizes of jobs and tasks, declarations, resubmissions and cancellations.
#pragma once

#include "protocol/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jackdaw::load {

using protocol::duration;

struct arrival_plan {
    double jobsPerSecond = 0; // mean outside of bursts; 0: taken from utilization
    double utilization = 0.7; // work that arrives over work that the upstreams can do
    double capacity = 0; // sum over the upstreams of slots times speed; 0: as the stand-ins say
    duration burstInterval {}; // between the starts of two bursts; zero: no bursts
    duration burstLength {};
    double burstFactor = 1; // of the arrival rate during a burst
};

// Counts and work times are drawn log-uniformly between their bounds.
struct task_plan {
    std::size_t minCount = 1;
    std::size_t maxCount = 1;
    duration minWork {}; // at speed 1
    duration maxWork {};
    double longShare = 0; // share of tasks that work for longWork
    duration longWork {};
    std::size_t payloadBytes = 0; // padding of each task's echo
};

struct declaration_plan {
    double wrongShare = 0; // share of tasks that declare a wrong run time
    double wrongFactor = 10; // too long or too short by it, with equal chances
};

struct resubmission_plan {
    double share = 0; // share of jobs sent once more through another entry host
    duration minDelay {};
    duration maxDelay {};
};

struct cancel_plan {
    duration interval {}; // between two waves; zero: none
    double share = 0; // of the jobs open at the time of a wave
};

// Invariant: every share lies in [0, 1], every minimum is at most its maximum, and teams is not empty.
struct workload {
    std::string client = "load";
    std::vector<std::string> teams { "load" }; // dealt to the jobs at random
    duration deadline = std::chrono::seconds(30);
    double idempotentShare = 0;
    arrival_plan arrivals;
    task_plan tasks;
    declaration_plan declarations;
    resubmission_plan resubmissions;
    cancel_plan cancels;
};

// The workload of one of the users, "zapisnikar" or "dune"; nothing for another name.
std::optional<workload> presetWorkload(std::string_view name);

} // namespace jackdaw::load
