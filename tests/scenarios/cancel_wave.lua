-- Failure: cancellations come in waves. Each cancelled job is answered truthfully, and the others are served.
hosts { zones = { "a" }, a = { "a1" } }
upstreams { zone = "a", instances = 1, announce = "a1", known_by = { "a1" } }

local cancelled, ids = {}, {}
for i = 1, 30 do
    ids[i] = new_submission()
    cancelled[i] = submit { host = "a1", id = ids[i], tasks = 8, work_ms = 300 }
end
local kept = submit { host = "a1", id = new_submission(), tasks = 8, work_ms = 20 }
eventually("tasks run", function() return stats("a").running > 0 end)
for i = 1, 30 do cancel("a1", ids[i]) end

local not_run = 0
for i = 1, 30 do
    local document = answer(cancelled[i])
    if document.state == "failed" then
        expect(document.error == "cancelled_before_start" or document.error == "cancelled_after_start", document.error)
        if document.ran == "no" then not_run = not_run + 1 end
    end
end
expect_whole(answer(kept), 8, "the job that was kept")
-- Each job that was not told "not run" may have started all of its tasks, the others none.
expect(stats("a").started <= (30 - not_run) * 8 + 8, "a job that was told 'not run' has run")
expect(not_run > 0, "no job was cancelled before its start")
