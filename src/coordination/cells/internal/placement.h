// Which upstream runs a task.
//
// Load pattern: upstreams of three speeds that hold two or three tasks each, nearly all of them busy. The fastest free
// upstream is taken; among equally fast ones the one that is filled best, so that wide tasks still find whole upstreams. A task
// does not start where it would end too late while a faster upstream could still end it in time: it waits, and a task with
// more time takes the slow place.
#pragma once

#include "coordination/cells/internal/cell_job.h"
#include "coordination/cells/internal/upstream_ledger.h"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace jackdaw::cells::internal {

using upstream_book = std::map<std::string, upstream_ledger>;

// What a placement must respect besides room.
struct task_demand {
    const protocol::job_step* step = nullptr;
    std::string_view service;
    std::string_view job;
    std::uint32_t stepNumber = 0;
    std::string_view avoid; // upstream of a run that went wrong: taken only when there is no other
    duration fastestRun {}; // expected on the fastest upstream, free or not
    duration timeLeft {}; // until the job's objective ends
};

bool hasLabel(const protocol::upstream_report& facts, std::string_view label);

// May ever run such a task.
bool couldRun(const upstream_ledger& upstream, const task_demand& demand);

// May be sent a start now, for whatever fits.
bool isOpen(const upstream_ledger& upstream, time_point now);

// Run time on this upstream / declared run time.
double expectedRatio(const upstream_ledger& upstream, const protocol::job_step& step, double serviceRatio, time_point now);

// The upstream for one task now; null when there is none, or when waiting for a faster one is better.
upstream_ledger* chooseUpstream(upstream_book& upstreams, const task_demand& demand, double serviceRatio, time_point now);

// Whether so many tasks with this need find room now, one after the other, largest room first.
bool fitsIn(std::span<const std::int64_t> rooms, std::int64_t need, std::uint32_t count);

} // namespace jackdaw::cells::internal
