-- Promise: a planned stop cuts off no request, also in the middle of a burst.
hosts { zones = { "a" }, a = { "a1", "a2" } }
upstreams { zone = "a", instances = 4, announce = "a1", known_by = { "a1", "a2" } }

local jobs = {}
for i = 1, 20 do
    jobs[i] = submit { host = "a1", id = new_submission(), tasks = 8, work_ms = 100 }
end
eventually("the burst runs", function() return stats("a").running > 0 end)
stop("a1")
for i = 1, 20 do
    expect_whole(answer(jobs[i]), 8, "job " .. i)
end
eventually("the host ends", function() return exit_code("a1") ~= nil end)
expect_equal(exit_code("a1"), 0, "exit code")
expect_whole(answer(submit { host = "a2", id = new_submission(), tasks = 8, work_ms = 10 }), 8, "a job on the other host")
expect_equal(stats("a").started_twice, 0, "tasks started twice")
