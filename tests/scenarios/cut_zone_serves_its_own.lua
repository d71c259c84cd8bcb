-- Promise: zones that are cut off from each other each go on serving what they can, and refusals tell the truth.
hosts { zones = { "a", "b" }, a = { "a1" }, b = { "b1" }, relays = true }
upstreams { zone = "a", instances = 1, announce = "a1", known_by = { "a1" } }
upstreams { zone = "b", instances = 1, announce = "b1", known_by = { "b1" } }
expect_whole(answer(submit { host = "a1", id = new_submission(), zone = "b", tasks = 3 }), 3, "a job of the other zone")

cut_zones("a", "b")
expect_whole(answer(submit { host = "a1", id = new_submission(), zone = "a", tasks = 3 }), 3, "zone a's own job")
expect_whole(answer(submit { host = "b1", id = new_submission(), zone = "b", tasks = 3 }), 3, "zone b's own job")

local started = stats("b").started
eventually("zone b counts as lost", function()
    local document = answer(submit { host = "a1", id = new_submission(), zone = "b", first_attempt = true, deadline_ms = 5000 })
    return document.error == "zone_unreachable_first_attempt" and document.ran == "no"
end)
local document = answer(submit { host = "a1", id = new_submission(), zone = "b", deadline_ms = 5000 })
expect_equal(document.error, "zone_unreachable", "error")
expect_equal(document.ran, "maybe", "ran")

heal_zones("a", "b")
eventually("the zones serve each other again", function()
    return is_whole(answer(submit { host = "a1", id = new_submission(), zone = "b", tasks = 2, deadline_ms = 5000 }), 2)
end)
expect(stats("b").started > started, "nothing ran in zone b after the cut")
expect_equal(stats("b").started_twice, 0, "tasks started twice")
