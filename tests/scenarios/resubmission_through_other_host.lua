-- Promise: no task of a submission starts twice, even when a caller resubmits through another host of the zone.
hosts { zones = { "a" }, a = { "a1", "a2" } }
upstreams { zone = "a", instances = 2, announce = "a1", known_by = { "a1", "a2" } }

local id = new_submission()
local first = submit { host = "a1", id = id, tasks = 20, work_ms = 300 }
eventually("tasks run", function() return stats("a").running > 0 end)
local second = submit { host = "a2", id = id, tasks = 20, work_ms = 300 }

expect_whole(answer(first), 20, "the first caller's answer")
expect_whole(answer(second), 20, "the second caller's answer")
expect_whole(answer(submit { host = "a2", id = id, tasks = 20, work_ms = 300 }), 20, "the stored answer")
expect_equal(stats("a").started, 20, "tasks started")
expect_equal(stats("a").started_twice, 0, "tasks started twice")
