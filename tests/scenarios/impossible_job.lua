-- Failure: some jobs can never run, some bodies are no jobs, and a zone may have no upstream. Each is refused at once.
hosts { zones = { "a" }, a = { "a1" } }
local document = answer(submit { host = "a1", id = new_submission(), tasks = 1 })
expect_equal(document.error, "no_upstream", "error without upstreams")
expect_equal(document.ran, "no", "ran without upstreams")
upstreams { zone = "a", instances = 1, announce = "a1", known_by = { "a1" } }
document = answer(submit { host = "a1", id = new_submission(), tasks = 700 })
expect_equal(document.error, "malformed_request", "error of a job with too many tasks")
expect_equal(document.ran, "no", "ran of a job with too many tasks")
document = answer(submit { host = "a1", id = new_submission(), tasks = 1, zone = "nowhere" })
expect_equal(document.ran, "no", "ran of a job of an unknown zone")
expect_equal(stats("a").started, 0, "tasks started")
