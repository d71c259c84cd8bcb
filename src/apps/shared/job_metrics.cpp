// Series for each client and team.
#include "apps/shared/job_metrics.h"

namespace jackdaw::apps {

using protocol::error_kind;

job_metrics::job_metrics(state::metrics& page)
    : m_page(page)
{
}

void job_metrics::record(std::string_view client, std::string_view team, const protocol::job_answer& answer, protocol::duration response)
{
    service& counters = find(client, team);
    const auto* failure = std::get_if<protocol::job_failure>(&answer);
    if (!failure) {
        counters.complete.add();
        counters.seconds.record(response);
        return;
    }
    if (failure->kind == error_kind::cancelled_before_start || failure->kind == error_kind::cancelled_after_start)
        counters.cancelled.add();
    else if (protocol::errorAnswer(failure->kind).ran == protocol::ran_state::no)
        counters.refused.add();
    else
        counters.failed.add();
}

job_metrics::service& job_metrics::find(std::string_view client, std::string_view team)
{
    const service_name name { client, team };
    const auto found = m_services.find(name);
    if (found != m_services.end())
        return found->second;
    if (m_services.size() < maxServices)
        return add(name);
    const service_name others { otherServices, otherServices };
    const auto shared = m_services.find(others);
    return shared == m_services.end() ? add(others) : shared->second;
}

job_metrics::service& job_metrics::add(const service_name& name)
{
    const state::metric_labels labels { { "client", name.first }, { "team", name.second } };
    const auto jobs = [&](std::string state) -> state::counter& {
        state::metric_labels withState = labels;
        withState.push_back({ "state", std::move(state) });
        return m_page.addCounter(serviceJobsName, "Jobs answered, by client and team.", std::move(withState));
    };
    state::latency_histogram& seconds = m_page.addHistogram(serviceSecondsName, "Response times of complete jobs.", labels);
    return m_services.emplace(name, service { jobs("complete"), jobs("failed"), jobs("refused"), jobs("cancelled"), seconds }).first->second;
}

} // namespace jackdaw::apps
