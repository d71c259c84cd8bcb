-- Failure: an upstream fails everything it starts. Failed tasks fail their jobs and are never started again; work goes
-- on elsewhere.
hosts { zones = { "a" }, a = { "a1" } }
upstreams { zone = "a", instances = 4, announce = "a1", known_by = { "a1" } }
fault("a", "a1", "fail_all")

local complete, failed = 0, 0
for _ = 1, 60 do
    local document = answer(submit { host = "a1", id = new_submission(), tasks = 1, work_ms = 20 })
    if document.state == "complete" then
        complete = complete + 1
    else
        failed = failed + 1
        expect_equal(document.error, "task_failed", "error")
        expect_equal(document.ran, "yes", "ran")
    end
end
expect(complete >= 45, "only " .. complete .. " of 60 jobs were complete")
expect_equal(stats("a").started, 60, "tasks started")
expect_equal(stats("a").started_twice, 0, "tasks started twice")
