"""The only entry machine of a zone leaves for good (SIGTERM) while a job of a client runs, and ends before the job does. The client
sends the job again after retry_ms; the platform takes the new connection to the next zone."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin"))
from harness import RETRY_MS, TROUBLE, run_case

JOB = "5c0e7a21d94b36f8"
STEPS = [{"count": 1, "cpu": 27000, "mem_mb": 64, "estimate_ms": 7000}]
DEADLINE_MS = 14000


async def case(bench):
    leaving = bench.owner_of("c")
    bench.durations[JOB] = 9.0
    begin = bench.record.now()
    first = asyncio.create_task(bench.post_job(leaving, JOB, STEPS, DEADLINE_MS))

    async def has_begun():
        return any(run.task.startswith(JOB) for _, _, run in bench.starts)

    await bench.until(has_begun, 3, "the job has begun")
    await asyncio.sleep(0.3)
    if not TROUBLE:
        await first
    else:
        leaving.signal(signal.SIGTERM)
        answer = await first
        if answer is not None:
            bench.record("the leaving machine has answered: nothing to send again")
            return False
        await asyncio.sleep(RETRY_MS / 1000)
        left_ms = DEADLINE_MS - int((bench.record.now() - begin) * 1000)
        await bench.post_job(next(entry for entry in bench.entries if entry.zone == "a"), JOB, STEPS, left_ms, "client, again")
    await asyncio.sleep(1)
    pairs = bench.double_runs()
    for task, left_runner, left, right_runner, right, both in pairs:
        bench.record("TWICE: task %s ran as run %d on %s (zone %s) and as run %d on %s (zone %s) for %.3f s at the same time"
                     % (task, left.run, left_runner.id, left_runner.zone, right.run, right_runner.id, right_runner.zone, both))
    return bool(pairs)


run_case(HERE, {"a": 3, "b": 2, "c": 1}, [("a", 64000), ("b", 64000), ("c", 64000)], case)
