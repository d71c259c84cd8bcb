// Messages between the hosts that serve cells: gossip, the directory of hosts and upstreams, and jobs on their way from the
// host that holds the caller's connection (the desk) to the owner of a cell.
//
// Each travels as an array of its kind and its fields; trailing fields of a later release are ignored.
#pragma once

#include "protocol/resources.h"
#include "protocol/result.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace jackdaw::protocol {

// What an upstream says of itself.
struct upstream_report {
    std::string id;
    std::int64_t startedUnixMs = 0; // start of this life; a restart under the same id has another
    std::uint64_t sequence = 0; // of the reports of one life
    std::string service;
    std::string address; // "ip:port"
    std::string zone;
    resource_vector capacity;
    std::vector<std::string> labels; // kind and rack among them
    bool isLeaving = false;

    friend bool operator==(const upstream_report&, const upstream_report&) = default;

    MSGPACK_DEFINE_ARRAY(id, startedUnixMs, sequence, service, address, zone, capacity, labels, isLeaving)
};

// Whether one report of an upstream was made after another: later in the same life, or in a later life.
bool isNewer(const upstream_report& report, const upstream_report& than);

// Tasks of one shape within a job.
struct job_step {
    std::uint32_t count = 0;
    resource_vector need; // of each task
    std::uint32_t estimateMs = 0; // run time the caller expects; often far off
    std::vector<std::uint32_t> dependsOn; // numbers of the steps that must be done first
    std::string requiredLabel; // empty: any upstream
    std::string dataRack; // label of the rack near the data; empty: none
    std::uint32_t maxPerUpstream = 0; // 0: no bound

    friend bool operator==(const job_step&, const job_step&) = default;

    MSGPACK_DEFINE_ARRAY(count, need, estimateMs, dependsOn, requiredLabel, dataRack, maxPerUpstream)
};

// A job on its way to the owner of a cell.
struct job_order {
    std::string id;
    std::string cell; // whose owner it is handed to
    std::uint64_t fencingToken = 0; // of the ownership that it is handed to; any other one must not take it
    std::string spec; // opaque; handed to the upstream with each start
    std::vector<job_step> steps;
    std::string service;
    std::uint32_t priority = 0; // 0 comes first
    std::uint32_t maxAttempts = 1; // failed runs of a task before the job fails
    double slackFactor = 1; // objective = slackFactor * longest chain of run times + targetMs
    std::uint32_t targetMs = 0;
    std::uint32_t ageMs = 0; // since the caller sent it, as far as the desk knows
    std::uint32_t timeLeftMs = 0; // until the caller stops waiting
    std::uint64_t submissionNumber = 0; // the desk's number for it; a resent order carries the same
    std::uint32_t handOverCount = 0; // how often the desk handed it to another owner before
    bool mayMove = true; // the owner may name another cell instead of queueing it
    std::vector<std::string> doneTasks; // names of tasks that an earlier owner saw done

    friend bool operator==(const job_order&, const job_order&) = default;

    MSGPACK_DEFINE_ARRAY(id, cell, fencingToken, spec, steps, service, priority, maxAttempts, slackFactor, targetMs, ageMs, timeLeftMs, submissionNumber, handOverCount, mayMove, doneTasks)
};

enum class job_outcome : std::uint8_t {
    completed, // each task is done
    failed, // a task failed maxAttempts times
    rejected, // nothing has run and nothing will
    unfinished, // tasks may have run; the owner gave the job up
    moved, // nothing has run here; cell names where to hand it
    released, // the owner lost the cell; doneTasks says what is done
    not_owned // nothing has run here for this order; the host does not own the cell, or under another token
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

    friend bool operator==(const order_answer&, const order_answer&) = default;

    MSGPACK_DEFINE_ARRAY(id, submissionNumber, handOverCount, outcome, reason, retryAfterMs, cell, doneTasks)
};

// An answer to this order.
order_answer makeOrderAnswer(const job_order& order, job_outcome outcome, std::string_view reason, std::uint32_t retryAfterMs = 0);

// The caller no longer waits for the job, or cancels it.
struct job_cancel {
    std::string id;

    friend bool operator==(const job_cancel&, const job_cancel&) = default;

    MSGPACK_DEFINE_ARRAY(id)
};

// What is free for one service's tasks; empty while tasks wait there.
struct service_free_capacity {
    std::string service;
    std::vector<std::uint32_t> millicores; // one number for each upstream that has any

    friend bool operator==(const service_free_capacity&, const service_free_capacity&) = default;

    MSGPACK_DEFINE_ARRAY(service, millicores)
};

// A host owns a cell under a fencing token.
struct cell_claim {
    std::string cell;
    std::uint64_t fencingToken = 0;
    std::vector<service_free_capacity> freeCapacity;

    friend bool operator==(const cell_claim&, const cell_claim&) = default;

    MSGPACK_DEFINE_ARRAY(cell, fencingToken, freeCapacity)
};

// A sign of life between entry hosts.
struct host_gossip {
    std::string host; // its address
    std::uint64_t incarnation = 0;
    std::string zone;
    std::uint32_t processorMillicores = 0;
    bool isLeaving = false;
    std::uint64_t configurationVersion = 0; // in force
    std::vector<cell_claim> claims;
    std::uint32_t zoneCellCount = 1; // into which this host divides its zone's upstreams

    friend bool operator==(const host_gossip&, const host_gossip&) = default;

    MSGPACK_DEFINE_ARRAY(host, incarnation, zone, processorMillicores, isLeaving, configurationVersion, claims, zoneCellCount)
};

// An entry host asks a control host for the directory, and tells which configuration it has in force.
struct directory_request {
    std::string host;
    std::uint64_t incarnation = 0;
    std::uint64_t configurationVersion = 0;
    bool isLeaving = false;

    friend bool operator==(const directory_request&, const directory_request&) = default;

    MSGPACK_DEFINE_ARRAY(host, incarnation, configurationVersion, isLeaving)
};

// A sign of life between control hosts.
struct control_heartbeat {
    std::string host;
    std::uint64_t incarnation = 0;
    std::string operatorAddress; // "ip:port"

    friend bool operator==(const control_heartbeat&, const control_heartbeat&) = default;

    MSGPACK_DEFINE_ARRAY(host, incarnation, operatorAddress)
};

// Who is there, from a control host to the entry hosts.
struct directory_update {
    std::vector<std::string> entryHosts;
    std::vector<std::string> controlHosts;
    std::vector<upstream_report> reports;

    friend bool operator==(const directory_update&, const directory_update&) = default;

    MSGPACK_DEFINE_ARRAY(entryHosts, controlHosts, reports)
};

// A configuration in force, whole.
struct configuration_push {
    std::uint64_t version = 0;
    std::string text;

    friend bool operator==(const configuration_push&, const configuration_push&) = default;

    MSGPACK_DEFINE_ARRAY(version, text)
};

// An entry host has heard of a newer configuration and asks for it.
struct configuration_pull {
    std::uint64_t version = 0; // that it has in force

    friend bool operator==(const configuration_pull&, const configuration_pull&) = default;

    MSGPACK_DEFINE_ARRAY(version)
};

// A message of the control group's replicated log, encoded by protocol/raft_codec.h.
struct control_raft_message {
    std::string bytes;

    friend bool operator==(const control_raft_message&, const control_raft_message&) = default;

    MSGPACK_DEFINE_ARRAY(bytes)
};

// The position in this list is the kind on the wire: append only.
using cell_message = std::variant<host_gossip, directory_request, control_heartbeat, directory_update, configuration_push, control_raft_message, job_order, order_answer, job_cancel, configuration_pull>;

// For logs.
std::string_view toText(job_outcome outcome);

std::string encodeCellMessage(const cell_message& message);

// malformed_request when the bytes are not such a message.
result<cell_message> decodeCellMessage(std::string_view bytes);

} // namespace jackdaw::protocol
