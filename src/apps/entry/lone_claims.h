// Claims of a host that has no peers in its zone: its own job registry tells which submissions it knows; this tells
// whether an unknown one may have run before the registry's memory begins.
#pragma once

#include "apps/entry/job_service.h"

namespace jackdaw::entry {

class lone_claims {
public:
    claim_outcome claim(const protocol::job_request& job) const;

private:
    const protocol::unix_milliseconds m_knownSince = protocol::unixNow();
};

} // namespace jackdaw::entry
