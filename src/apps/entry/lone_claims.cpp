// Claims without a claim group.
#include "apps/entry/lone_claims.h"

namespace jackdaw::entry {

claim_outcome lone_claims::claim(const protocol::job_request& job) const
{
    // Clocks of clients run ahead or behind by less than this.
    constexpr protocol::unix_milliseconds maxClockSkew = std::chrono::minutes(2);
    const auto memory = std::chrono::duration_cast<protocol::unix_milliseconds>(registry_limits {}.recordRetention) - maxClockSkew;
    const auto created = protocol::creationTime(job.submission);
    const bool mayHaveRun = created < m_knownSince || created + memory < protocol::unixNow();
    return { mayHaveRun && !job.firstAttempt ? claim_state::too_old : claim_state::granted, {}, 0 };
}

} // namespace jackdaw::entry
