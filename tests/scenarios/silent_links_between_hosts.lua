-- Failure: the open connections between two hosts go silent for good while new ones work.
hosts { zones = { "a", "b" }, a = { "a1" }, b = { "b1" }, relays = true }
upstreams { zone = "b", instances = 1, announce = "b1", known_by = { "b1" } }
expect_whole(answer(submit { host = "a1", id = new_submission(), zone = "b", tasks = 2 }), 2, "a job before")
silence("a1", "b1")
eventually("the hosts reach each other over new connections", function()
    return is_whole(answer(submit { host = "a1", id = new_submission(), zone = "b", tasks = 2, deadline_ms = 3000 }), 2)
end)
expect_equal(stats("b").started_twice, 0, "tasks started twice")
