"""Fault soak of the platform's two programs as processes on loopback: seeded troubles that overlap, injected from outside, while
clients submit jobs and send them again after retry_ms. Checks at the end of each seed, from what clients and runners saw:

- TWICE: no two runs of a task at the same time.
- LIMIT: no runner is filled over its capacity.
- REFUSED: no task starts of a job of which all attempts were rejected.
- served: in the calm at the end, jobs complete again.

    tests/soak/soak.py --bin FOLDER [--seeds FIRST LAST] [--seconds N] [--troubles freeze,kill,...] [--jobs N] [--large]
                       [--keep FOLDER]

Exits with 0 if all seeds held, 1 if one broke a rule, 2 if one couldn't run. The stand-ins are those of review/standin.
"""

import argparse
import asyncio
import os
import random
import shutil
import signal
import sys
import tempfile
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "review", "standin"))
import harness
from harness import RETRY_MS, Bench, CouldNotRun, Record, Runner, request

READY_INTERVAL_S = 1.0  # of the platform's probes; two misses take a machine out of rotation
PROBE_TIMEOUT_S = 1.0
CALM_S = 9.0  # at the end, longer than any trouble and the recovery from it
RUNNER_CPU = 64000


class QuietRecord(Record):
    def __call__(self, text):
        self.file.write("%8.3f  %s\n" % (self.now(), text))
        self.file.flush()


class FaultyRunner(Runner):
    """Can crash and start again under its id, and carry orders out late without an answer."""

    is_down = False
    late_share = 0.0
    is_silent_to_control = False

    async def beat_once(self):
        if self.is_down or self.is_silent_to_control:
            return False
        return await super().beat_once()

    def crash(self):
        self.is_down = True
        for run in list(self.running.values()):
            self.finish(run, "crashed")
        self.bench.record("runner %s crashes" % self.id)

    def restart(self):
        self.is_down = False
        self.started, self.born = time.monotonic(), int(time.time() * 1000)
        self.sequence = self.token = self.ends = self.lease_end = self.cursor = 0
        self.running, self.finished, self.highest = {}, [], {}
        self.bench.record("runner %s starts again" % self.id)

    async def answer(self, path, headers, call):
        if self.is_down:
            raise ConnectionError("down")
        if self.bench.random.random() < self.late_share:
            asyncio.create_task(self.carry_out_late(path, headers, call))
            await asyncio.sleep(15)
            raise ConnectionError("no answer")
        return await super().answer(path, headers, call)

    async def carry_out_late(self, path, headers, call):
        await asyncio.sleep(self.bench.random.uniform(2, 12))
        if not self.is_down:
            self.bench.record("runner %s carries out %s late: %s" % (self.id, path, call.get("task", "")))
            await super().answer(path, headers, call)


class Soak:
    def __init__(self, bench, seconds, kinds):
        self.bench, self.seconds, self.kinds = bench, seconds, kinds
        self.random = bench.random
        self.rotation = {entry: True for entry in bench.entries}
        self.busy = set()  # machines with a trouble
        self.cpu = {}  # of each task, by job
        self.attempts = {}  # statuses by job; None: no answer
        self.overfills = []
        self.completed_in_calm = 0
        self.is_over = False
        self.proxies = {}

    # The platform.

    async def probe(self, entry):
        misses = 0
        while not self.is_over:
            try:
                answer = await request((entry.ip, self.bench.ports["readiness"]), "GET", "/api/ready", "ready", timeout=PROBE_TIMEOUT_S)
                misses = 0 if answer.status == 200 else misses + 1
            except (OSError, asyncio.TimeoutError):
                misses += 1
            self.rotation[entry] = misses < 2
            await asyncio.sleep(READY_INTERVAL_S)

    def pick_entry(self, zone):
        zones = [zone] + self.random.sample([other for other in self.bench.zones if other != zone], len(self.bench.zones) - 1)
        for name in zones:
            entries = [entry for entry in self.bench.entries if entry.zone == name]
            ready = [entry for entry in entries if self.rotation[entry]]
            if ready:
                return self.random.choice(ready if 2 * len(ready) >= len(entries) else entries)
        return self.random.choice(self.bench.entries)

    # Clients.

    async def client(self, job, zone, steps, deadline_ms):
        for attempt in range(4):
            entry = self.pick_entry(zone)
            answer = await self.bench.post_job(entry, job, steps, deadline_ms, "client" if attempt == 0 else "client, again")
            status = answer.status if answer else None
            self.attempts.setdefault(job, []).append(status)
            if status == 200 and self.is_over:
                self.completed_in_calm += 1
            if status not in (None, 502, 504):
                return
            await asyncio.sleep(RETRY_MS / 1000)

    async def submit(self, until, rate):
        tasks = []
        while time.monotonic() < until:
            await asyncio.sleep(self.random.expovariate(rate))
            job = "%016x" % self.random.getrandbits(64)
            is_long = self.random.random() < 0.3
            length = self.random.uniform(1, 6) if is_long else self.random.uniform(0.05, 0.9)
            cpu = self.random.choice([2000, 8000, 27000])
            steps = [{"count": self.random.randint(1, 4), "cpu": cpu, "mem_mb": 64, "estimate_ms": int(length * 1000)}]
            self.bench.durations[job] = length
            self.cpu[job] = cpu
            deadline_ms = 14000 if is_long else 1500
            tasks.append(asyncio.create_task(self.client(job, self.random.choice(self.bench.zones), steps, deadline_ms)))
        return tasks

    # Troubles.

    async def freeze(self, machine):
        machine.signal(signal.SIGSTOP)
        await asyncio.sleep(self.random.choice([0.3, 0.9, 1.4, 2.5, 3.2, 3.6]) * self.random.uniform(0.9, 1.1))
        machine.signal(signal.SIGCONT)

    async def kill(self, machine):
        machine.signal(signal.SIGKILL)
        machine.bootstrap = False
        await asyncio.sleep(self.random.choice([0.1, 0.5, 1.5, 2.5]))
        machine.start()

    async def term(self, machine):
        machine.signal(signal.SIGTERM)
        end = time.monotonic() + 6
        while machine.process.poll() is None and time.monotonic() < end:
            await asyncio.sleep(0.05)
        machine.end()
        self.bench.record("%s has ended" % machine.name)
        machine.bootstrap = False
        await asyncio.sleep(self.random.uniform(0.1, 2))
        machine.start()

    async def silence(self, machine):
        for proxy in self.proxies[machine]:
            proxy.silence()
        self.bench.record("open links of %s fall silent" % machine.name)
        await asyncio.sleep(1)

    async def crash(self, runner):
        runner.crash()
        await asyncio.sleep(self.random.uniform(0.1, 3))
        runner.restart()

    async def late(self, runner):
        self.bench.record("runner %s: late orders" % runner.id)
        runner.late_share = 0.5
        await asyncio.sleep(self.random.uniform(1, 4))
        runner.late_share = 0.0
        self.bench.record("runner %s: orders in time" % runner.id)

    async def unheard(self, runner):
        self.bench.record("runner %s loses the control machines" % runner.id)
        runner.is_silent_to_control = True
        await asyncio.sleep(self.random.uniform(3, 8))
        runner.is_silent_to_control = False

    async def strike(self, kind, target):
        self.busy.add(target)
        try:
            await getattr(self, kind)(target)
        finally:
            self.busy.discard(target)

    async def troubles(self, until):
        running = []
        while time.monotonic() < until:
            kind = self.random.choice(self.kinds)
            if kind in ("crash", "late", "unheard"):
                targets = self.bench.runners
            elif kind == "silence":
                targets = list(self.proxies)
            elif kind == "term":
                targets = self.bench.entries
            else:
                targets = self.bench.entries + (self.bench.controls if self.random.random() < 0.2 else [])
            free = [target for target in targets if target not in self.busy]
            controls_struck = sum(control in self.busy for control in self.bench.controls)
            if controls_struck:
                free = [target for target in free if target not in self.bench.controls]
            # Two zones at least keep a machine.
            struck = {entry.zone for entry in self.busy if entry in self.bench.entries}
            if len(struck) >= len(self.bench.zones) - 1:
                free = [target for target in free if target not in self.bench.entries or target.zone in struck]
            if free:
                running.append(asyncio.create_task(self.strike(kind, self.random.choice(free))))
            await asyncio.sleep(self.random.choice([0.1, 0.5, 1, 2]))
        await asyncio.gather(*running)

    # Checks.

    def on_start(self, runner, run):
        self.bench.starts.append((run.begin, runner, run))
        self.bench.record("runner %s (zone %s): task %s run %d begins" % (runner.id, runner.zone, run.task, run.run))
        used = sum(self.cpu.get(task.split(".")[0], 0) for task in runner.running)
        if used > runner.capacity["cpu"]:
            self.overfills.append("%s at %.3f: %d" % (runner.id, run.begin, used))

    def findings(self):
        found = []
        for task, left_runner, left, right_runner, right, both in self.bench.double_runs():
            found.append("TWICE: task %s ran as run %d on %s and as run %d on %s from %.3f for %.3f s"
                         % (task, left.run, left_runner.id, right.run, right_runner.id, max(left.begin, right.begin), both))
        found += ["LIMIT: " + text for text in self.overfills]
        for _, runner, run in self.bench.starts:
            statuses = self.attempts.get(run.task.split(".")[0], [None])
            if statuses and all(status in (404, 429, 503) for status in statuses):
                found.append("REFUSED: task %s started on %s at %.3f, attempts %s" % (run.task, runner.id, run.begin, statuses))
        if not self.completed_in_calm:
            found.append("served: no job completed in the calm at the end")
        return found

    async def play(self):
        self.bench.on_start = self.on_start
        if "silence" in self.kinds: # around one machine: proxies need a port of their own on every other
            entry = self.random.choice(self.bench.entries)
            self.proxies[entry] = await self.bench.put_proxies_around(entry)
        await self.bench.open([(zone, RUNNER_CPU) for zone in self.bench.zones for _ in range(2)])
        probes = [asyncio.create_task(self.probe(entry)) for entry in self.bench.entries]
        end = time.monotonic() + self.seconds
        rate = 3.0 * len(self.bench.zones)
        troubles = asyncio.create_task(self.troubles(end))
        clients = await self.submit(end, rate)
        await troubles
        await asyncio.gather(*clients)
        await asyncio.sleep(CALM_S)
        self.is_over = True
        await asyncio.gather(*await self.submit(time.monotonic() + 3, rate))
        for task in probes:
            task.cancel()
        return self.findings()


def play_seed(seed, options):
    folder = tempfile.mkdtemp(prefix="jackdaw-soak-")
    harness.Record, harness.Runner = QuietRecord, FaultyRunner
    zones = {"a": 8, "b": 8, "c": 8, "d": 8, "e": 8} if options.large else {"a": 2, "b": 2, "c": 1}
    bench = Bench(folder, zones, "127.%d" % (80 + seed % 100))
    bench.random = random.Random(seed)
    kinds = options.troubles.split(",")
    soak = Soak(bench, options.seconds, [kind for kind in kinds if kind != "silence"] if options.large else kinds)
    code, found = 2, []
    try:
        loop = asyncio.new_event_loop()
        loop.set_exception_handler(lambda _, context: bench.record("stand-ins: %s" % context))
        found = loop.run_until_complete(asyncio.wait_for(soak.play(), options.seconds * 3 + 120))
        code = 1 if found else 0
    except (CouldNotRun, asyncio.TimeoutError, OSError) as error:
        found = ["could not run: %r" % error]
    finally:
        if options.keep and code != 0:
            keep = os.path.join(options.keep, "seed-%d" % seed)
            shutil.copytree(bench.folder, keep, dirs_exist_ok=True)
            shutil.copy(os.path.join(folder, "record.txt"), keep)
        bench.close()
        shutil.rmtree(folder, ignore_errors=True)
    print("seed %d: %s (%d starts, %d jobs)" % (seed, ["held", "BROKEN", "could not run"][code], len(bench.starts), len(soak.attempts)), flush=True)
    for text in found:
        print("    " + text, flush=True)
    return code


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--bin", required=True)
    parser.add_argument("--seeds", type=int, nargs=2, default=[1, 2])
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--troubles", default="freeze,kill,term,silence,crash,late,unheard")
    parser.add_argument("--jobs", type=int, default=1)
    parser.add_argument("--large", action="store_true")
    parser.add_argument("--keep")
    options = parser.parse_args()
    harness.ENTRY = os.path.join(options.bin, "jackdaw-platform-entry")
    harness.CONTROL = os.path.join(options.bin, "jackdaw-platform-control")
    waiting = list(range(options.seeds[0], options.seeds[1] + 1))
    codes, playing = [], 0
    while waiting or playing:
        if waiting and playing < options.jobs:
            seed = waiting.pop(0)
            if os.fork() == 0:
                os._exit(play_seed(seed, options))  # connections that are open on purpose need no clean-up
            playing += 1
            continue
        codes.append(os.waitstatus_to_exitcode(os.wait()[1]))
        playing -= 1
    sys.exit(1 if 1 in codes else max(codes))


main()
