// Which upstream runs a task.
//
// Load pattern: upstreams of three speeds that hold two or three tasks each, nearly all of them busy, and more tasks waiting
// than places. The fastest free upstream is taken; among equally fast ones the one that is filled best, so that wide tasks
// still find whole upstreams. A task does not start where it would end too late while a faster upstream could still end it in
// time: it waits, and a task with more time takes the slow place. What is known of the upstreams is worked out once for all
// tasks that look for a place at one moment, so that a long queue costs little more than a short one.
#pragma once

#include "coordination/cells/internal/cell_job.h"
#include "coordination/cells/internal/run_time_ratio.h"
#include "coordination/cells/internal/upstream_state.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace jackdaw::cells::internal {

using upstream_map = std::map<std::string, upstream_state>;
using service_ratios = std::map<std::string, run_time_ratio, std::less<>>;

// What a placement must respect besides room.
struct task_demand {
    const protocol::job_step* step = nullptr;
    std::string_view service;
    std::string_view job;
    std::uint32_t stepNumber = 0;
    std::string_view avoidUpstream; // upstream of a run that went wrong: taken only when there is no other
    duration fastestRun {}; // expected on the fastest upstream, free or not
    duration timeLeft {}; // until the job's objective ends
};

bool hasLabel(const protocol::upstream_report& facts, std::string_view label);

// May ever run such a task.
bool canRun(const upstream_state& upstream, const task_demand& demand);

// May be sent a start now, for whatever fits.
bool isAvailable(const upstream_state& upstream, time_point now);

// Expected run time / declared run time of tasks of a service that has no samples on this upstream yet.
double serviceRatio(const service_ratios& ratios, std::string_view service);

// The open upstreams of a cell at one moment, with room and speed of each. Valid until any upstream changes by other means
// than take().
class available_upstreams {
public:
    available_upstreams(upstream_map& upstreams, const service_ratios& ratios, time_point now);

    // The upstream for one task; null when there is none, or when waiting for a faster one is better.
    upstream_state* choose(const task_demand& demand) const;

    // The task was started there.
    void reserve(const upstream_state& upstream, const resource_vector& need);

    // False when no upstream has room for such a task, whatever its speed and labels.
    bool hasRoomFor(std::string_view service, const resource_vector& need) const;

    // Whether so many tasks of one shape find room together.
    bool fitsAll(const task_demand& demand, std::uint32_t count) const;

    // Run time / declared run time on the fastest upstream, free or not; 0 when none is open.
    double fastestRatio(std::string_view service, const protocol::job_step& step) const;

private:
    struct candidate {
        upstream_state* upstream = nullptr;
        resource_vector room;
        double ratio = 1; // run time / declared run time, near the data
    };
    struct service_group {
        std::vector<candidate> candidates; // by the upstream's id
        resource_vector largestRoom; // of each resource, over all candidates
    };

    const service_group* find(std::string_view service) const;

    std::map<std::string_view, service_group> m_groups; // by service
};

} // namespace jackdaw::cells::internal
