// Tests of the gauges of a process.
#include "apps/shared/metrics_page.h"
#include "apps/shared/process_gauges.h"

#include <doctest/doctest.h>

#include <fcntl.h>
#include <unistd.h>

#include <string>
#include <string_view>

using namespace jackdaw;

namespace {

double valueOf(const state::metrics& all, std::string_view name)
{
    for (const apps::metric_sample& sample : apps::parseMetricsPage(all.toPrometheus())) {
        if (sample.name == name)
            return sample.value;
    }
    return -1;
}

} // namespace

TEST_CASE("the gauges of a process miss its threads, descriptors or memory")
{
    state::metrics all;
    apps::process_gauges gauges(all);
    transport::event_loop loop;
    const transport::mesh links(loop, { "host", 1, "127.0.0.1:1" }, {});
    gauges.update(links);
    CHECK(valueOf(all, "jackdaw_process_threads") == 1);
    CHECK(valueOf(all, "jackdaw_process_resident_bytes") > 100'000);
    CHECK(valueOf(all, "jackdaw_links_open") == 0);
    CHECK(valueOf(all, "jackdaw_links_accepted") == 0);

    const double before = valueOf(all, "jackdaw_process_descriptors");
    const int file = open("/dev/null", O_RDONLY | O_CLOEXEC);
    gauges.update(links);
    CHECK(valueOf(all, "jackdaw_process_descriptors") == before + 1);
    close(file);
}
