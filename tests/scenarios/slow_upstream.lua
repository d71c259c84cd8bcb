-- Failure: a straggler. A task on an upstream that has become slow is not started again elsewhere; the answers are whole.
hosts { zones = { "a" }, a = { "a1" } }
upstreams { zone = "a", instances = 3, announce = "a1", known_by = { "a1" } }
fault("a", "a2", "slow", 10)
local jobs = {}
for i = 1, 12 do
    jobs[i] = submit { host = "a1", id = new_submission(), tasks = 6, work_ms = 60, idempotent = i % 2 == 0 }
end
for i = 1, 12 do expect_whole(answer(jobs[i]), 6, "job " .. i) end
expect_equal(stats("a").started, 72, "tasks started")
expect_equal(stats("a").started_twice, 0, "tasks started twice")
