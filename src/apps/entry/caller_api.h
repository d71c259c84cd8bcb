// The callers' HTTP interface: PUT, GET and DELETE of /v1/jobs/{submission}. Reads and writes JSON on its own loop's
// thread; the jobs themselves live on the decision loop.
#pragma once

#include "apps/entry/entry_counters.h"
#include "apps/entry/job_service.h"
#include "protocol/job_codec.h"
#include "transport/event_loop.h"
#include "transport/http_server.h"

#include <memory>

namespace jackdaw::entry {

class caller_api {
public:
    // The job service is used on the decision loop's thread only.
    caller_api(transport::event_loop& callers, transport::event_loop& decisions, protocol::job_limits limits, job_service& jobs, entry_counters& counters);
    ~caller_api();

    // The handler of the callers' HTTP server.
    void onRequest(const transport::http_request& request, std::shared_ptr<transport::http_responder> responder);

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace jackdaw::entry
