"""The only entry machine of a zone freezes and wakes again. A client whose request it holds gives up at its deadline and sends the job
again after retry_ms; the platform takes the new connection to another zone. The machine wakes while the job runs there."""

import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin"))
from harness import RETRY_MS, TROUBLE, run_case

JOB = "5c0e7a21d94b36f8"
STEPS = [{"count": 4, "cpu": 27000, "mem_mb": 64, "estimate_ms": 900}]
DEADLINE_MS = 1500
FREEZE_S = 3.5


async def case(bench):
    frozen = bench.owner_of("c")
    bench.durations[JOB] = 1.0
    if not TROUBLE:
        await bench.post_job(frozen, JOB, STEPS, DEADLINE_MS)
        await asyncio.sleep(1)
        return bool(bench.double_runs())
    frozen.signal(signal.SIGSTOP)
    begin = time.monotonic()

    async def probe():
        misses = 0
        while misses < 2:
            misses = 0 if await bench.is_ready(frozen) else misses + 1
            await asyncio.sleep(0.05)
        bench.record("platform: %s is out of rotation" % frozen.name)

    rotation = asyncio.create_task(probe())
    await asyncio.sleep(0.1)
    await bench.post_job(frozen, JOB, STEPS, DEADLINE_MS)
    await asyncio.sleep(RETRY_MS / 1000)
    await rotation
    other = next(entry for entry in bench.entries if entry.zone == "b")
    again = asyncio.create_task(bench.post_job(other, JOB, STEPS, DEADLINE_MS, "client, again"))
    await asyncio.sleep(max(begin + FREEZE_S - time.monotonic(), 0))
    frozen.signal(signal.SIGCONT)
    await again
    await asyncio.sleep(1)
    pairs = bench.double_runs()
    for task, left_runner, left, right_runner, right, both in pairs:
        bench.record("TWICE: task %s ran as run %d on %s (zone %s) and as run %d on %s (zone %s) for %.3f s at the same time"
                     % (task, left.run, left_runner.id, left_runner.zone, right.run, right_runner.id, right_runner.zone, both))
    return bool(pairs)


run_case(HERE, {"a": 3, "b": 2, "c": 1}, [(zone, 64000) for zone in "aabbcc"], case)
