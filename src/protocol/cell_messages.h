// Messages between the hosts that serve cells: gossip, the directory of hosts and upstreams, and the jobs that an entry host
// forwards to the owner of a cell. The origin of a job is the entry host that keeps the caller's connection.
//
// A message is encoded as an array of its kind and its fields. Trailing fields that a later release added are ignored.
#pragma once

#include "protocol/resources.h"
#include "protocol/result.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace jackdaw::protocol {

// An upstream's description of itself.
struct upstream_report {
    std::string id;
    std::int64_t startedUnixMs = 0; // start time of the process; tells restarts under the same id apart
    std::uint64_t sequence = 0; // increases with each report of one process
    std::string service;
    std::string address; // "ip:port"
    std::string zone;
    resource_vector capacity;
    std::vector<std::string> labels; // include the kind and the rack of the upstream
    bool isLeaving = false;
    std::uint32_t coldLeftMs = 0; // for so long after the report the upstream is slower than usual

    friend bool operator==(const upstream_report&, const upstream_report&) = default;

    MSGPACK_DEFINE_ARRAY(id, startedUnixMs, sequence, service, address, zone, capacity, labels, isLeaving, coldLeftMs)
};

// Whether the first of two reports of an upstream is newer: from a later start, or from the same start with a higher
// sequence number.
bool isNewer(const upstream_report& report, const upstream_report& other);

// A report that was received this long ago and not followed by a newer one no longer hides older reports. Otherwise one report of
// another writer with a start or sequence too high would shut out the upstream's own reports for good. Late reports come sooner.
constexpr std::chrono::seconds reportPrecedenceTime { 10 };

// A set of tasks of a job that have the same requirements.
struct job_step {
    std::uint32_t count = 0;
    resource_vector need; // of each task
    std::uint32_t estimateMs = 0; // run time that the caller declares; often inaccurate
    std::vector<std::uint32_t> dependsOn; // indexes of the steps that must be done before this one starts
    std::string requiredLabel; // empty: any upstream
    std::string dataRack; // label of the rack that is close to the task's data; empty: no preference
    std::uint32_t maxPerUpstream = 0; // 0: unlimited

    friend bool operator==(const job_step&, const job_step&) = default;

    MSGPACK_DEFINE_ARRAY(count, need, estimateMs, dependsOn, requiredLabel, dataRack, maxPerUpstream)
};

// What went wrong with a task under the owners so far.
struct task_failures {
    std::string task;
    std::uint32_t failedRuns = 0;
    std::uint32_t crashes = 0; // upstreams that crashed while they ran it

    friend bool operator==(const task_failures&, const task_failures&) = default;

    MSGPACK_DEFINE_ARRAY(task, failedRuns, crashes)
};

// Hands a job to the owner of a cell.
struct job_order {
    std::string id;
    std::string cell; // the job is handed to the owner of this cell
    std::uint64_t fencingToken = 0; // of the addressed ownership; an owner under another token must not accept the order
    std::string spec; // opaque; sent to the upstream with each task start
    std::vector<job_step> steps;
    std::string service;
    std::uint32_t priority = 0; // 0 is the highest
    std::uint32_t maxAttempts = 1; // failed attempts of a task after which the job fails
    double slackFactor = 1; // objective = slackFactor * run time of the critical path + targetMs
    std::uint32_t targetMs = 0;
    std::uint32_t ageMs = 0; // time since the caller sent the job, as far as the origin knows
    std::uint32_t timeLeftMs = 0; // time until the caller stops waiting; for owners, until its host answers it at the latest
    std::uint64_t submissionNumber = 0; // assigned by the origin; a resent order carries the same number
    std::uint32_t handOverCount = 0; // number of earlier handovers of the job to other owners
    bool mayMove = true; // the owner may redirect the job to another cell instead of queueing it
    std::vector<std::string> doneTasks; // names of the tasks that are done according to earlier owners
    std::vector<task_failures> failures {}; // of earlier owners
    std::vector<upstream_report> runsOn {}; // upstreams that may run tasks of the job, according to the last owner that released it
    bool areRunsKnown = false; // the last owner has released the job, and runsOn names all such upstreams
    // Number of cells into which every owner that was sent the job before divided the zone: its tasks run in the same cell of that division.
    // 0: not known, or not the same number for all.
    std::uint32_t earlierCellCount = 0;
    std::uint64_t earlierToken = 0; // highest fencing token of an ownership that was sent the job before; 0: not known

    friend bool operator==(const job_order&, const job_order&) = default;

    MSGPACK_DEFINE_ARRAY(id, cell, fencingToken, spec, steps, service, priority, maxAttempts, slackFactor, targetMs, ageMs, timeLeftMs, submissionNumber, handOverCount, mayMove, doneTasks, failures, runsOn, areRunsKnown, earlierCellCount, earlierToken)
};

// Bytes that the order takes in memory, without its tasks' states; about.
std::size_t memoryOf(const job_order& order);

// The order may have waited unread for up to this long: its caller may stop waiting earlier by as much. Its age stays as it is, since
// it may also have waited less.
void shortenTimeLeft(job_order& order, std::chrono::milliseconds delay);

enum class job_outcome : std::uint8_t {
    completed, // all tasks are done
    failed, // a task failed maxAttempts times
    rejected, // no task has run and none will
    unfinished, // tasks may have run; the job was abandoned or cancelled
    moved, // no task has run here; the field cell names the cell to send the job to
    released, // the owner lost the cell; doneTasks lists the completed tasks
    not_owned // no task has run here for this order: the host does not own the cell, or owns it under another token
};

} // namespace jackdaw::protocol

MSGPACK_ADD_ENUM(jackdaw::protocol::job_outcome)

namespace jackdaw::protocol {

struct order_answer {
    std::string id;
    std::uint64_t submissionNumber = 0; // of the order that it answers
    std::uint32_t handOverCount = 0; // of the order that it answers
    job_outcome outcome = job_outcome::unfinished;
    std::string reason;
    std::uint32_t retryAfterMs = 0;
    std::string cell;
    std::vector<std::string> doneTasks;
    std::vector<task_failures> failures {}; // with released, as the fields below: for the next owner
    std::vector<upstream_report> runsOn {};
    bool areRunsKnown = false;

    friend bool operator==(const order_answer&, const order_answer&) = default;

    MSGPACK_DEFINE_ARRAY(id, submissionNumber, handOverCount, outcome, reason, retryAfterMs, cell, doneTasks, failures, runsOn, areRunsKnown)
};

// Returns an answer that carries the order's id, submission number and handover count.
order_answer makeOrderAnswer(const job_order& order, job_outcome outcome, std::string_view reason, std::uint32_t retryAfterMs = 0);

// The caller no longer waits for the job, or cancels it. The owner answers as to an order; until then the origin sends it again.
struct job_cancel {
    std::string id;
    std::uint64_t submissionNumber = 0; // of the order; 0, from an earlier release: the latest, and no answer is expected

    friend bool operator==(const job_cancel&, const job_cancel&) = default;

    MSGPACK_DEFINE_ARRAY(id, submissionNumber)
};

// Free capacity for the tasks of one service; empty while tasks are queued in the cell.
struct service_free_capacity {
    std::string service;
    std::vector<std::uint32_t> millicores; // one element for each upstream with free capacity

    friend bool operator==(const service_free_capacity&, const service_free_capacity&) = default;

    MSGPACK_DEFINE_ARRAY(service, millicores)
};

// States that a host owns a cell under a fencing token.
struct cell_claim {
    std::string cell;
    std::uint64_t fencingToken = 0;
    std::vector<service_free_capacity> freeCapacity;
    std::uint32_t zoneCellCount = 1; // number of cells into which the zone is divided under this claim

    friend bool operator==(const cell_claim&, const cell_claim&) = default;

    MSGPACK_DEFINE_ARRAY(cell, fencingToken, freeCapacity, zoneCellCount)
};

// Heartbeat between entry hosts, with the sender's state and the cells it owns.
struct host_gossip {
    std::string host; // address of the sender
    std::uint64_t incarnation = 0;
    std::string zone;
    std::uint32_t processorMillicores = 0;
    bool isLeaving = false;
    std::uint64_t configurationVersion = 0; // of the active configuration
    std::vector<cell_claim> claims;
    std::uint32_t zoneCellCount = 1; // number of cells into which the sender divides the upstreams of its zone
    std::uint64_t evacuationNumber = 0; // of the last change of evacuated zones that the sender knows of
    std::uint32_t ownerDelayMs = 0; // how long an event waits for the sender's CPU; 0 as well: not known

    friend bool operator==(const host_gossip&, const host_gossip&) = default;

    MSGPACK_DEFINE_ARRAY(host, incarnation, zone, processorMillicores, isLeaving, configurationVersion, claims, zoneCellCount, evacuationNumber, ownerDelayMs)
};

// An entry host asks a control host for the directory and reports the version of its active configuration.
struct directory_request {
    std::string host;
    std::uint64_t incarnation = 0;
    std::uint64_t configurationVersion = 0;
    bool isLeaving = false;
    std::string zone {}; // empty: not known, then the host gets the reports of all zones
    std::string newsZone {}; // the host waits for an update that names every live upstream of this zone; empty: for none
    std::int64_t newsTime = 0; // on the host's clock, when it asked; the update repeats it
    bool wantsConfiguration = true; // if the receiver has a newer one; hosts of earlier releases, which don't say, do
    std::uint64_t evacuationNumber = 0; // of the last change of evacuated zones that the host knows of

    friend bool operator==(const directory_request&, const directory_request&) = default;

    MSGPACK_DEFINE_ARRAY(host, incarnation, configurationVersion, isLeaving, zone, newsZone, newsTime, wantsConfiguration, evacuationNumber)
};

// Heartbeat between control hosts.
struct control_heartbeat {
    std::string host;
    std::uint64_t incarnation = 0;
    std::string operatorAddress; // "ip:port"
    std::vector<std::string> heardHosts {}; // control hosts that the sender heard lately; introduces them to the receiver

    friend bool operator==(const control_heartbeat&, const control_heartbeat&) = default;

    MSGPACK_DEFINE_ARRAY(host, incarnation, operatorAddress, heardHosts)
};

// The known hosts and upstreams, sent by a control host to the entry hosts.
struct directory_update {
    std::vector<std::string> entryHosts;
    std::vector<std::string> controlHosts;
    std::vector<upstream_report> reports;
    std::string newsZone {}; // as in the request that the update answers
    std::int64_t newsTime = 0;

    friend bool operator==(const directory_update&, const directory_update&) = default;

    MSGPACK_DEFINE_ARRAY(entryHosts, controlHosts, reports, newsZone, newsTime)
};

// The complete text of the active configuration.
struct configuration_push {
    std::uint64_t version = 0;
    std::string text;

    friend bool operator==(const configuration_push&, const configuration_push&) = default;

    MSGPACK_DEFINE_ARRAY(version, text)
};

// An entry host that learned of a newer configuration asks for it.
struct configuration_pull {
    std::uint64_t version = 0; // of the sender's active configuration

    friend bool operator==(const configuration_pull&, const configuration_pull&) = default;

    MSGPACK_DEFINE_ARRAY(version)
};

// A Raft message of the control group, encoded by protocol/raft_codec.h.
struct control_raft_message {
    std::string bytes;

    friend bool operator==(const control_raft_message&, const control_raft_message&) = default;

    MSGPACK_DEFINE_ARRAY(bytes)
};

// The upstreams that an entry host knows of, for another entry host.
struct upstream_list {
    std::vector<upstream_report> reports;
    std::vector<std::uint32_t> agesMs; // of each report: time since anything was heard of the upstream

    friend bool operator==(const upstream_list&, const upstream_list&) = default;

    MSGPACK_DEFINE_ARRAY(reports, agesMs)
};

// The last change of one zone's evacuation.
struct evacuation_row {
    std::string zone;
    bool isEvacuated = false;
    std::uint32_t storedMsAgo = 0; // age of the change when the message was sent; 2^32 - 1 or more: that

    friend bool operator==(const evacuation_row&, const evacuation_row&) = default;

    MSGPACK_DEFINE_ARRAY(zone, isEvacuated, storedMsAgo)
};

// The evacuated zones, for an entry host that knows of an earlier change only. A zone that is not named is not evacuated.
struct evacuation_state {
    std::uint64_t number = 0; // of the last change
    std::vector<evacuation_row> rows;

    friend bool operator==(const evacuation_state&, const evacuation_state&) = default;

    MSGPACK_DEFINE_ARRAY(number, rows)
};

// The position of a type in this list is its kind on the wire: new types are appended at the end.
using cell_message = std::variant<host_gossip, directory_request, control_heartbeat, directory_update, configuration_push, control_raft_message, job_order, order_answer, job_cancel, configuration_pull, upstream_list, evacuation_state>;

// Names for logs and metrics.
std::string_view kindOf(const cell_message& message);
std::string_view toText(job_outcome outcome);

std::string encodeCellMessage(const cell_message& message);

// Fails with malformed_request when the bytes are not a valid cell message.
result<cell_message> decodeCellMessage(std::string_view bytes);

} // namespace jackdaw::protocol
