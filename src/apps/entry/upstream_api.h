// The upstreams' HTTP interface: POST /v1/upstreams with an announcement.
#pragma once

#include "apps/entry/entry_counters.h"
#include "protocol/announcement.h"
#include "transport/http_server.h"

#include <functional>
#include <memory>

namespace jackdaw::entry {

class upstream_api {
public:
    using announcement_hook = std::function<void(protocol::time_point heardAt, protocol::announcement announcement)>;

    // The hook runs on the thread of the HTTP server.
    upstream_api(entry_counters& counters, announcement_hook onAnnouncement);

    // The handler of the upstreams' HTTP server.
    void onRequest(const transport::http_request& request, transport::http_responder& responder);

private:
    entry_counters& m_counters;
    announcement_hook m_onAnnouncement;
};

} // namespace jackdaw::entry
