// Messages between entry hosts and their codec. Each carries a format version; a reader ignores trailing fields that it
// does not know and takes defaults for those that an older sender leaves out.
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

// An announcement as it is passed on. The age keeps the ttl counting from when it was first heard.
struct relayed_announcement {
    announcement content;
    duration age {};
};

// A repeated announcement, named by the hash of its content.
struct refreshed_announcement {
    std::uint64_t contentHash = 0;
    duration age {};
};

struct heartbeat {
    std::string zone;
    bool isDraining = false; // takes no forwarded jobs
    std::uint64_t rulesVersion = 0; // of the rules in force on the sender
    std::vector<relayed_announcement> changed; // heard since the last heartbeat, with new content
    std::vector<refreshed_announcement> refreshed; // heard again, content sent before
    std::vector<std::uint64_t> requestedHashes; // content hashes the sender was told of and doesn't know
};

// Asks the receiver to answer a job: in its home zone, or as the host that coordinates it.
struct job_forward {
    std::uint64_t requestId = 0; // chosen by the sender; a repeated forward carries the same number
    std::uint32_t hops = 0; // hosts that passed it on before
    bool isDetached = false; // goes on when nobody waits for it
    job_request job;
};

struct job_forward_answer {
    std::uint64_t requestId = 0;
    submission_id submission {};
    job_answer answer;
};

// The caller of a forwarded job went away, or cancels the job.
struct job_withdrawal {
    std::uint64_t requestId = 0;
    bool cancelsJob = false; // stop the job for all who wait for it
};

// The services that bring their own codec.
enum class mesh_service : std::uint8_t {
    claims,
    slot_leases,
    configuration
};

struct service_message {
    mesh_service service = mesh_service::claims;
    std::string bytes;
    std::string scope {}; // which of the service's groups it is for; empty where there is one
};

using mesh_message = std::variant<heartbeat, job_forward, job_forward_answer, job_withdrawal, service_message>;

std::string encode(const mesh_message& message);

// Anything that is not a message of a known kind is malformed_request.
result<mesh_message> decodeMeshMessage(std::string_view bytes);

// Tells announcements with equal content apart from others; the same on every host.
std::uint64_t contentHash(const announcement& announcement);

} // namespace jackdaw::protocol
