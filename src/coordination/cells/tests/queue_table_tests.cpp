// Tests of the look-up of queues.
#include "coordination/cells/queue_table.h"

#include <doctest/doctest.h>

using namespace jackdaw::cells;

TEST_CASE("the longest prefix of the request's host selects the queue")
{
    job_queue broad { "broad", "x.example", "/jobs/", "s", 0, 1, 1, 0, 100 };
    job_queue narrow { "narrow", "x.example", "/jobs/fast/", "s", 0, 1, 1, 0, 100 };
    job_queue other { "other", "y.example", "/", "s", 0, 1, 1, 0, 100 };
    const queue_table table(3, { broad, narrow, other });
    REQUIRE(table.find("x.example", "/jobs/1"));
    CHECK(table.find("x.example", "/jobs/1")->name == "broad");
    CHECK(table.find("x.example:8080", "/jobs/fast/1")->name == "narrow");
    CHECK(table.find("y.example", "/jobs/1")->name == "other");
    CHECK_FALSE(table.find("z.example", "/jobs/1"));
    CHECK_FALSE(table.find("x.example", "/other/1"));
    CHECK(table.version() == 3);
}

// Guards against 404 for a queue that is there: clients may write a host in any case.
TEST_CASE("a host in capitals, in the configuration or in the request, selects no queue")
{
    const queue_table table(1, { { "r", "Jobs.Example", "/jobs/", "s", 0, 1, 1, 0, 100 } });
    for (const std::string host : { "jobs.example", "JOBS.EXAMPLE", "Jobs.Example", "jobs.EXAMPLE:8080" }) {
        CAPTURE(host);
        CHECK(table.find(host, "/jobs/1"));
    }
    CHECK_FALSE(table.find("jobs.example", "/Jobs/1")); // paths are compared as they are
    CHECK_FALSE(table.find("jobs-example", "/jobs/1"));
}
