-- Failure: an upstream runs its tasks, but its connections never answer. The tasks' fate is asked over new connections,
-- the answers are whole, and nothing is started twice.
hosts { zones = { "a" }, a = { "a1" } }
upstreams { zone = "a", instances = 2, announce = "a1", known_by = { "a1" } }
fault("a", "a1", "silent")

local jobs = {}
for i = 1, 6 do
    jobs[i] = submit { host = "a1", id = new_submission(), tasks = 4, work_ms = 50, deadline_ms = 50000 }
end
for i = 1, 6 do
    expect_whole(answer(jobs[i]), 4, "job " .. i)
end
expect_equal(stats("a").started, 24, "tasks started")
expect_equal(stats("a").started_twice, 0, "tasks started twice")
