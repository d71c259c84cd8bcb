-- Promise: an upstream that is leaving gets no new work after a few seconds.
hosts { zones = { "a" }, a = { "a1", "a2" } }
upstreams { zone = "a", instances = 2, announce = "a1", known_by = { "a1", "a2" } }
fault("a", "a1", "leave")
for _, host in ipairs { "a1", "a2" } do
    eventually(host .. " knows that one is leaving", function() return status(host).upstreams == 1 end)
end

local before = stats("a").instances["a1"].started
for i = 1, 20 do
    local host = i % 2 == 0 and "a1" or "a2"
    expect_whole(answer(submit { host = host, id = new_submission(), tasks = 4, work_ms = 5 }), 4, "a job")
end
expect_equal(stats("a").instances["a1"].started, before, "tasks started by the leaving upstream")
