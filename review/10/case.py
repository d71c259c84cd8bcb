"""A few jobs among the others have very many tasks and can never be done. The check is that no process ends (RULES.md, Fault)."""

import os
import random
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
from standins import BOUNDS, job, new_id, run_case, start_system, submit  # noqa: E402

MEMORY_MB = 260  # of an entry host of the site; the platform kills a process that uses more
RESTART_S = 0.5
STEPS, TASKS = 600, 10000
LARGE_JOBS = 5
TRAFFIC_S = 50
ENDS, MACHINES = 3, 2  # the rule: three ends on a tenth of the machines in use, two at least


def watch(system, is_over, ends):
    """The platform's part: kills a process that has used more than its machine's memory, and starts it again."""
    while not is_over.is_set():
        for entry in system.entries:
            used = entry.memory()
            if not entry.has_ended() and used > MEMORY_MB:
                ends.append(entry.name)
                system.record.write("platform: %s has used %d MB, more than %d MB, and is killed" % (entry.name, used, MEMORY_MB))
                entry.end()
            if entry.has_ended():
                if not ends or ends[-1] != entry.name:
                    ends.append(entry.name)
                    system.record.write("platform: %s has ended with status %s" % (entry.name, entry.child.returncode))
                time.sleep(RESTART_S)
                entry.start()
        time.sleep(0.02)


def hand_in(system, name, entry, identity, body, is_over):
    """Sends a job again after no answer, a broken connection, 502 or 504, as the platform's clients do, within its deadline."""
    for attempt in range(3):
        status, _, _ = submit(entry, identity, body)
        system.record.write("%s: job %s at %s: %s" % (name, identity, entry.name, status))
        if status not in (None, 502, 504) or is_over.is_set():
            return status
        time.sleep(BOUNDS["retry_ms"] / 1000)
        entry = random.choice(system.entries)
    return None


def client(system, number, is_over, answers):
    chance = random.Random(number)
    entry = system.entries[number % len(system.entries)]
    while not is_over.is_set():
        answers.append(hand_in(system, "client %d" % number, entry, new_id(), job(count=2, cpu=9000, estimate_ms=100), is_over))
        time.sleep(chance.uniform(0.2, 0.4))


def case(record, has_trouble):
    system = start_system(record, target_duration_ms=600)
    is_over, ends, answers = threading.Event(), [], []
    try:
        threading.Thread(target=watch, args=(system, is_over, ends), daemon=True).start()
        for number in range(10):
            threading.Thread(target=client, args=(system, number, is_over, answers), daemon=True).start()
        time.sleep(3)
        for number in range(LARGE_JOBS if has_trouble else 0):
            steps = [{"count": TASKS, "cpu": 27000, "mem_mb": 64, "estimate_ms": 60}] * STEPS
            record.write("client of large jobs: a job of %d steps with %d tasks each" % (STEPS, TASKS))
            hand_in(system, "client of large jobs", system.entries[number % len(system.entries)], new_id(), job(steps=steps), is_over)
            time.sleep(2)
        time.sleep(max(TRAFFIC_S - record.now(), 3))
        is_over.set()
        if not [status for status in answers if status == 200]:
            raise RuntimeError("no other job was served")
        counts = {name: ends.count(name) for name in sorted(set(ends))}
        record.write("ends of processes by machine: %s; of the processes at the end the largest has used %d MB" % (counts or "none", max(entry.memory() for entry in system.entries)))
        return len([name for name, count in counts.items() if count >= ENDS]) >= MACHINES
    finally:
        is_over.set()
        time.sleep(1)
        system.end()


run_case(os.path.dirname(os.path.abspath(__file__)), case)
