-- Failure: an upstream announces nothing any more. It gets no work once its time to live is over.
hosts { zones = { "a" }, a = { "a1", "a2" } }
upstreams { zone = "a", instances = 2, announce = "a1", known_by = { "a1", "a2" } }
fault("a", "a2", "mute")
for _, host in ipairs { "a1", "a2" } do
    eventually(host .. " lets it expire", function() return status(host).upstreams == 1 end)
end
local before = stats("a").instances["a2"].started
for _ = 1, 10 do
    expect_whole(answer(submit { host = "a2", id = new_submission(), tasks = 4, work_ms = 5 }), 4, "a job")
end
expect_equal(stats("a").instances["a2"].started, before, "tasks started by the upstream that fell silent")
