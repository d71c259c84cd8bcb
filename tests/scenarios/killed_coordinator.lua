-- Failure: the host that runs a job dies. A resubmission through the zone's other host starts nothing twice and is told
-- "maybe", not "no".
hosts { zones = { "a" }, a = { "a1", "a2" } }
upstreams { zone = "a", instances = 2, announce = "a1", known_by = { "a1", "a2" } }

local id = new_submission()
submit { host = "a1", id = id, tasks = 8, work_ms = 1500 }
eventually("all tasks run", function() return stats("a").running == 8 end)
kill("a1")

local document = answer(submit { host = "a2", id = id, tasks = 8, work_ms = 1500 })
expect_equal(document.state, "failed", "state")
expect_equal(document.ran, "maybe", "ran")
start("a1")
document = answer(submit { host = "a1", id = id, tasks = 8, work_ms = 1500 })
expect_equal(document.state, "failed", "state after the host's return")
expect_equal(document.ran, "maybe", "ran after the host's return")
expect_equal(stats("a").started_twice, 0, "tasks started twice")
eventually("the zone serves again", function()
    return is_whole(answer(submit { host = "a2", id = new_submission(), tasks = 2 }), 2)
end)
