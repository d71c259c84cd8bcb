// Counts the answers to jobs by client and team: what the service-level report is made from.
#pragma once

#include "protocol/job.h"
#include "state/metrics.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace jackdaw::apps {

// Names of the series, which the report reads.
constexpr std::string_view serviceJobsName = "jackdaw_service_jobs_total"; // {client, team, state}
constexpr std::string_view serviceSecondsName = "jackdaw_service_job_seconds"; // {client, team}, of complete jobs

// Clients name themselves: those that come after the bound share one series, so that memory stays bounded.
constexpr std::size_t maxServices = 200;
constexpr std::string_view otherServices = "other";

// Belongs to one thread.
class job_metrics {
public:
    // The metrics must outlive this object.
    explicit job_metrics(state::metrics& page);

    // The response time counts from the job's arrival to its answer.
    void record(std::string_view client, std::string_view team, const protocol::job_answer& answer, protocol::duration response);

private:
    struct service {
        state::counter& complete;
        state::counter& failed;
        state::counter& refused; // nothing ran
        state::counter& cancelled; // on the caller's wish
        state::latency_histogram& seconds;
    };
    using service_name = std::pair<std::string, std::string>; // client and team

    service& find(std::string_view client, std::string_view team);
    service& add(const service_name& name);

    state::metrics& m_page;
    std::map<service_name, service> m_services; // at most maxServices and one for the others
};

} // namespace jackdaw::apps
