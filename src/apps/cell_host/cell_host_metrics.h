// Counters, gauges and histograms of a cell host.
#pragma once

#include "protocol/cell_messages.h"
#include "state/metrics.h"

namespace jackdaw::cell_host {

struct cell_host_metrics {
    explicit cell_host_metrics(state::metrics& all)
        : completed(all.addCounter("jackdaw_jobs_total", "Jobs of this host's callers, by outcome.", { { "outcome", "completed" } }))
        , failed(all.addCounter("jackdaw_jobs_total", "Jobs of this host's callers, by outcome.", { { "outcome", "failed" } }))
        , rejected(all.addCounter("jackdaw_jobs_total", "Jobs of this host's callers, by outcome.", { { "outcome", "rejected" } }))
        , unfinished(all.addCounter("jackdaw_jobs_total", "Jobs of this host's callers, by outcome.", { { "outcome", "unfinished" } }))
        , jobTime(all.addHistogram("jackdaw_job_seconds", "From a job's arrival to its answer."))
        , starts(all.addCounter("jackdaw_task_starts_total", "Starts sent to upstreams."))
        , newConnections(all.addCounter("jackdaw_upstream_connections_total", "Connections opened to upstreams."))
        , ownershipChanges(all.addCounter("jackdaw_cell_changes_total", "Cells taken or given up."))
        , openJobs(all.addGauge("jackdaw_open_jobs", "Jobs of this host's callers that wait for their answer."))
        , waitingTasks(all.addGauge("jackdaw_waiting_tasks", "Tasks of owned cells that wait for room."))
        , ownedCells(all.addGauge("jackdaw_owned_cells", "Cells that this host dispatches."))
        , ownerDelay(all.addGauge("jackdaw_owner_delay_seconds", "How long an event waits for this host's CPU, averaged over about 0.5 s."))
        , zoneCells(all.addGauge("jackdaw_zone_cells", "Cells into which the upstreams of this host's zone are divided."))
        , upstreams(all.addGauge("jackdaw_adopted_upstreams", "Upstreams of owned cells that answer to this host."))
        , configurationVersion(all.addGauge("jackdaw_configuration_version", "Version in force; 0: none yet."))
        , evacuatedZones(all.addGauge("jackdaw_evacuated_zones", "Zones whose evacuation is in force here."))
        , logLinesLeftOut(all.addGauge("jackdaw_log_lines_left_out", "Log lines that were not written since the start."))
    {
    }

    void countAnswer(protocol::job_outcome outcome, protocol::duration took)
    {
        switch (outcome) {
        case protocol::job_outcome::completed:
            completed.add();
            break;
        case protocol::job_outcome::failed:
            failed.add();
            break;
        case protocol::job_outcome::rejected:
            rejected.add();
            break;
        default:
            unfinished.add();
            break;
        }
        jobTime.record(took);
    }

    state::counter& completed;
    state::counter& failed;
    state::counter& rejected;
    state::counter& unfinished;
    state::latency_histogram& jobTime;
    state::counter& starts;
    state::counter& newConnections;
    state::counter& ownershipChanges;
    state::gauge& openJobs;
    state::gauge& waitingTasks;
    state::gauge& ownedCells;
    state::gauge& ownerDelay;
    state::gauge& zoneCells;
    state::gauge& upstreams;
    state::gauge& configurationVersion;
    state::gauge& evacuatedZones;
    state::gauge& logLinesLeftOut;
};

} // namespace jackdaw::cell_host
