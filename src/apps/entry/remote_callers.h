// Jobs that other entry hosts sent here: submits them, and sends the answers back. Lives on the decision loop's thread.
#pragma once

#include "apps/entry/job_forwarder.h"
#include "apps/entry/job_service.h"
#include "protocol/mesh_messages.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>

namespace jackdaw::entry {

class remote_callers {
public:
    remote_callers(job_service& jobs, job_forwarder::send_hook send);

    // A forward that was repeated while its job runs changes nothing.
    void onForward(std::string_view host, std::uint64_t incarnation, protocol::job_forward message);
    void onWithdrawal(std::string_view host, std::uint64_t incarnation, const protocol::job_withdrawal& message);

private:
    struct remote_request {
        std::string host;
        std::uint64_t incarnation = 0;
        std::uint64_t request = 0;

        friend bool operator<(const remote_request& left, const remote_request& right)
        {
            return std::tie(left.host, left.incarnation, left.request) < std::tie(right.host, right.incarnation, right.request);
        }
    };

    job_service& m_jobs;
    job_forwarder::send_hook m_send;
    std::map<remote_request, job_service::ticket> m_waiting; // those whose answer is still to come
};

} // namespace jackdaw::entry
