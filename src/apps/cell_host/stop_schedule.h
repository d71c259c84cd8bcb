// The order and the time limits of a cell host's planned stop. Has no clock of its own.
//
// While the load balancer has hosts to choose from, it sends a stopping host no connection once it has seen two probes fail, and the
// host ends when nothing is open. Where many hosts of a zone stop at once, the load balancer uses all of them, so connections go on
// arriving: the host serves them, since a closed port would only make callers lose time, and refuses jobs (503) once too little time is
// left for them. Its listener closes early enough before the end for the requests of its last connections to be answered.
#pragma once

#include "protocol/time.h"

#include <cstddef>
#include <cstdint>

namespace jackdaw::cell_host {

class stop_schedule {
public:
    static constexpr protocol::duration checkInterval = std::chrono::milliseconds(50);

    // The process is killed gracePeriod after the signal; its share of a processor says how long it takes to answer callers.
    stop_schedule(protocol::duration gracePeriod, std::uint32_t processorMillicores);

    struct state {
        protocol::duration since {}; // the signal
        std::size_t openJobs = 0;
        std::size_t openConnections = 0; // of callers
        std::uint64_t connectionsAccepted = 0; // since the start of the process
        bool isAccepting = true;
    };

    struct step {
        bool closesIdleConnections = false;
        bool refusesJobs = false;
        bool stopsAccepting = false;
        bool abandonsJobs = false; // their callers are answered that the jobs did not end; they send them again
        bool ends = false;
    };

    // What is to be done now; to be called every checkInterval.
    step next(const state& now);

private:
    protocol::duration timeToAnswer(std::size_t jobs) const;

    protocol::duration m_gracePeriod;
    protocol::duration m_answerTime; // of one job's callers
    std::uint64_t m_connectionsAccepted = 0;
    protocol::duration m_lastAccepted {}; // after the signal
    bool m_hasAbandonedJobs = false;
};

} // namespace jackdaw::cell_host
