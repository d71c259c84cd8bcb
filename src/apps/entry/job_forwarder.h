// Sends jobs on to other entry hosts and gets their answers back: to the home zone of a job, or to the host that
// coordinates it. Lives on the decision loop's thread.
#pragma once

#include "apps/entry/job_registry.h"
#include "apps/entry/peer_table.h"
#include "protocol/mesh_messages.h"

#include <functional>
#include <memory>
#include <string>

namespace jackdaw::entry {

struct forwarder_settings {
    protocol::duration firstResendAfter = std::chrono::seconds(2); // doubled with each resend
    protocol::duration answerGrace = std::chrono::seconds(3); // after the job's deadline, for the answer's way back
    std::uint32_t maxHosts = 4; // tried for one job
};

class job_forwarder {
public:
    // False when the message was certainly not sent.
    using send_hook = std::function<bool(std::string_view host, const protocol::mesh_message& message)>;

    job_forwarder(forwarder_settings settings, const peer_table& peers, send_hook send);
    ~job_forwarder();

    // Whether some host of the zone takes new jobs.
    bool hasHostFor(const std::string& zone) const;

    // Sends the job to a host of the zone that takes new jobs; moves on to another when that one is lost. The hook gets
    // the answer, once and never before this returns: zone_unreachable when no host of the zone could answer.
    // Returns the number of the request.
    std::uint64_t forwardToZone(const std::string& zone, protocol::job_request job, std::uint32_t hops, bool isDetached, answer_hook onAnswer);

    // Sends the job to the incarnation of a host that coordinates it: coordinator_lost when that is gone.
    std::uint64_t forwardToHost(const std::string& host, std::uint64_t incarnation, protocol::job_request job, std::uint32_t hops, answer_hook onAnswer);

    // The answer is no longer wanted; the hook is not called any more.
    void withdraw(std::uint64_t request);

    // Passes the caller's wish to stop the job on. The answer is still awaited.
    void cancel(std::uint64_t request);

    // From the host a request was sent to.
    void onAnswer(std::string_view host, protocol::job_forward_answer answer);

    // Repeats requests, moves them to other hosts, and gives up. To be called a few times a second.
    void tick();

    std::size_t openRequests() const;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

// The zone whose hosts coordinate the job: the one it names, else one chosen by its id.
std::string homeZone(const protocol::job_request& job, const std::vector<std::string>& zones);

} // namespace jackdaw::entry
