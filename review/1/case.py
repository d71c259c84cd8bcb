"""An entry machine is killed whose job was moved to the cell of another zone. The client sends the job again after retry_ms."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin"))
import harness
from harness import RETRY_MS, TROUBLE, CouldNotRun, run_case

JOB = "5c0e7a21d94b36f8"
TASK_S = 2.8
ONE_TASK = [{"count": 1, "cpu": 27000, "mem_mb": 64, "estimate_ms": 2800}]


async def case(bench):
    # Fill the runner of zone "a", whose owner then moves further jobs to another zone.
    owner = bench.owner_of("a")
    others = [entry for entry in bench.entries if entry.zone == "a" and entry is not owner]
    entry = others[0]
    bench.record("owner of zone a: %s; the client's machine: %s" % (owner.name, entry.name))
    fillers = []
    for number in range(2):
        filler = "00000000000000f%d" % number
        bench.durations[filler] = 5.0
        fillers.append(asyncio.create_task(bench.post_job(owner, filler, [{"count": 1, "cpu": 27000, "mem_mb": 64, "estimate_ms": 5000}], 9000, "other client")))
    await asyncio.sleep(0.7)
    bench.durations[JOB] = TASK_S
    first = asyncio.create_task(bench.post_job(entry, JOB, ONE_TASK, 8000))

    async def has_begun():
        return any(run.task.startswith(JOB) for _, _, run in bench.starts)

    await bench.until(has_begun, 3, "the job has begun")
    place = next(runner for _, runner, run in bench.starts if run.task.startswith(JOB))
    if place.zone == "a":
        raise CouldNotRun("the job was not moved")
    await asyncio.sleep(0.2)
    if TROUBLE:
        entry.signal(signal.SIGKILL)
        answer = await first
        if answer is not None:
            raise CouldNotRun("the job was answered before the kill")
        await asyncio.sleep(RETRY_MS / 1000)
        third = next(other for other in bench.entries if other.zone not in ("a", place.zone))
        again = asyncio.create_task(bench.post_job(third, JOB, ONE_TASK, 8000, "client, again"))
        await asyncio.sleep(2.2)
        entry.start()
        await again
    else:
        await first
    await asyncio.gather(*fillers)
    pairs = bench.double_runs()
    for task, left_runner, left, right_runner, right, both in pairs:
        bench.record("TWICE: task %s ran as run %d on %s (zone %s) and as run %d on %s (zone %s) for %.3f s at the same time"
                     % (task, left.run, left_runner.id, left_runner.zone, right.run, right_runner.id, right_runner.zone, both))
    return bool(pairs)


run_case(HERE, {"a": 3, "b": 2, "c": 1}, [("a", 64000), ("b", 64000), ("c", 64000)], case)
