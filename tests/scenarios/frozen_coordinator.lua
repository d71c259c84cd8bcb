-- Failure, twice at once: the host that runs a job is frozen while its caller resubmits through the other host, then it
-- goes on. Nothing starts twice, and the first caller still gets the whole answer.
hosts { zones = { "a" }, a = { "a1", "a2" } }
upstreams { zone = "a", instances = 2, announce = "a2", known_by = { "a1", "a2" } }

local id = new_submission()
local first = submit { host = "a1", id = id, tasks = 8, work_ms = 800 }
eventually("all tasks run", function() return stats("a").running == 8 end)
freeze("a1")
hold(300)
local second = submit { host = "a2", id = id, tasks = 8, work_ms = 800 }
local document = answer(second)
expect(document.state == "complete" or document.ran == "maybe", "an untrue answer: " .. tostring(document.ran))
thaw("a1")
expect_whole(answer(first), 8, "the first caller's answer")
expect_equal(stats("a").started, 8, "tasks started")
expect_equal(stats("a").started_twice, 0, "tasks started twice")
