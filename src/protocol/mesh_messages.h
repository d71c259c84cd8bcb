// Messages between entry hosts, with their encoding. Each carries a format version. A reader ignores unknown trailing fields
// and uses defaults for fields that an older sender omits.
#pragma once

#include "protocol/announcement.h"
#include "protocol/job.h"
#include "protocol/result.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace jackdaw::protocol {

// A forwarded announcement. Its age is the time since it was received from the upstream, so that the ttl is not extended by
// forwarding.
struct relayed_announcement {
    announcement content;
    duration age {};
};

// A repeated announcement with unchanged content, identified by the hash of the content.
struct refreshed_announcement {
    std::uint64_t contentHash = 0;
    duration age {};
};

struct heartbeat {
    std::string zone;
    bool isDraining = false; // does not accept forwarded jobs
    std::uint64_t rulesVersion = 0; // version of the rules that are active on the sender
    std::vector<relayed_announcement> changed; // received since the last heartbeat, with new content
    std::vector<refreshed_announcement> refreshed; // received again; the content was sent before
    std::vector<std::uint64_t> requestedHashes; // hashes from refreshed whose content the sender does not know and asks for
};

// Asks the receiver to run a job and answer it, as a host of the job's home zone or as its coordinator.
struct job_forward {
    std::uint64_t requestId = 0; // chosen by the sender; a resent forward carries the same id
    std::uint32_t hops = 0; // number of hosts that forwarded the job before
    bool isDetached = false; // the job continues when no caller waits for it
    job_request job;
};

struct job_forward_answer {
    std::uint64_t requestId = 0;
    submission_id submission {};
    job_answer answer;
};

// The caller of a forwarded job disconnected or cancels the job.
struct job_withdrawal {
    std::uint64_t requestId = 0;
    bool cancelsJob = false; // cancels the job for all callers that wait for it
};

// Services whose messages have an encoding of their own.
enum class mesh_service : std::uint8_t {
    claims,
    slot_leases,
    configuration
};

struct service_message {
    mesh_service service = mesh_service::claims;
    std::string bytes;
    std::string scope {}; // the group of the service that is addressed; empty when the service has a single group
};

using mesh_message = std::variant<heartbeat, job_forward, job_forward_answer, job_withdrawal, service_message>;

std::string encode(const mesh_message& message);

// Fails with malformed_request when the bytes are not a message of a known kind.
result<mesh_message> decodeMeshMessage(std::string_view bytes);

// Hash of the announcement's content; equal content has the same hash on every host.
std::uint64_t contentHash(const announcement& announcement);

} // namespace jackdaw::protocol
