// Tests of the answers' counts by client and team, and of the reader of metrics pages.
#include "apps/shared/job_metrics.h"
#include "apps/shared/metrics_page.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace jackdaw;
using namespace jackdaw::apps;
using std::chrono::milliseconds;

namespace {

double valueOf(const state::metrics& page, std::string_view name, const state::metric_labels& labels)
{
    for (const metric_sample& sample : parseMetricsPage(page.toPrometheus())) {
        if (sample.name == name && sample.labels == labels)
            return sample.value;
    }
    return -1;
}

} // namespace

TEST_CASE("answers are counted by client, team and state, and read back from the page")
{
    state::metrics page;
    job_metrics jobs(page);
    jobs.record("a \"b\"\n", "t", protocol::job_results {}, milliseconds(40));
    jobs.record("a \"b\"\n", "t", protocol::job_failure { protocol::error_kind::queue_full, {}, {} }, {});
    jobs.record("a \"b\"\n", "t", protocol::job_failure { protocol::error_kind::task_failed, {}, {} }, {});
    jobs.record("a \"b\"\n", "t", protocol::job_failure { protocol::error_kind::cancelled_after_start, {}, {} }, {});
    for (const char* state : { "complete", "failed", "refused", "cancelled" })
        CHECK(valueOf(page, serviceJobsName, { { "client", "a \"b\"\n" }, { "team", "t" }, { "state", state } }) == 1);
    const std::string buckets = std::string(serviceSecondsName) + "_bucket";
    CHECK(valueOf(page, buckets, { { "client", "a \"b\"\n" }, { "team", "t" }, { "le", "0.02" } }) == 0);
    CHECK(valueOf(page, buckets, { { "client", "a \"b\"\n" }, { "team", "t" }, { "le", "0.05" } }) == 1);
}

TEST_CASE("clients beyond the bound share one series")
{
    state::metrics page;
    job_metrics jobs(page);
    for (std::size_t i = 0; i < maxServices + 50; ++i)
        jobs.record("client" + std::to_string(i), "t", protocol::job_results {}, milliseconds(1));
    CHECK(valueOf(page, serviceJobsName, { { "client", "other" }, { "team", "other" }, { "state", "complete" } }) == 50);
}

TEST_CASE("lines that can't be read are left out")
{
    const auto samples = parseMetricsPage("# HELP x y\n\nbroken\nx{a=\"1\n{} 3\nx{a} 4\ny 5\nz{a=\"b\",c=\"d\"} 6.5 1700000000");
    REQUIRE(samples.size() == 2);
    CHECK(samples[0].name == "y");
    CHECK(samples[1].label("c") == "d");
    CHECK(samples[1].value == 6.5);
}
