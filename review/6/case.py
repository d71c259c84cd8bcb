"""A runner's answers are lost for some seconds, while a client leaves and another one sends a job. The check is TWICE."""

import http.client
import json
import os
import select
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
from standins import HOST_NAME, PREFIX, ZONES, job, new_id, run_case, start_system, submit  # noqa: E402

DEADLINE_MS = 5700
WORK_S = 2.6  # the site's longest task has 3.6
CUT_S = 4.0
OVERLAP_S = 0.05
# After the poll whose answer is lost: the next poll is on its way from 0.65 to 0.85 s.
DELAYS_S = [0.74, 0.76, 0.72, 0.78, 0.7, 0.75]


class Gate:
    """Stands between the entry hosts and a runner. During a cut, requests on open connections still reach the runner, its answers are
    lost, and new connections stay without an answer to their first packet."""

    def __init__(self, system, runner):
        self.runner, self.record = runner, system.record
        self.is_cut, self.on_hold = False, None
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((system.address("gate"), 0))
        self.listener.listen(64)
        self.fillers = []
        runner.address = "%s:%d" % self.listener.getsockname()
        threading.Thread(target=self.accept, daemon=True).start()

    def cut(self):
        self.is_cut = True
        self.listener.listen(0)  # a full queue: the kernel leaves further connections unanswered
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.listener.getsockname())
            self.fillers.append(filler)
        self.record.write("gate: answers of runner %s are lost" % self.runner.id)

    def heal(self):
        for filler in self.fillers:
            filler.close()
        self.fillers = []
        self.listener.listen(64)
        self.is_cut = False
        self.record.write("gate: answers of runner %s arrive again" % self.runner.id)

    def accept(self):
        while True:
            if self.is_cut or not select.select([self.listener], [], [], 0.02)[0] or self.is_cut:
                time.sleep(0.002)
                continue
            client, _ = self.listener.accept()
            threading.Thread(target=self.forward, args=(client,), daemon=True).start()

    def forward(self, client):
        address, port = self.runner.own_address.rsplit(":", 1)
        server = socket.create_connection((address, int(port)))

        def back():
            try:
                while data := server.recv(65536):
                    if not self.is_cut:
                        client.sendall(data)
            except OSError:
                pass

        threading.Thread(target=back, daemon=True).start()
        try:
            while data := client.recv(65536):
                server.sendall(data)
                hook = self.on_hold
                if hook and data.startswith(b"POST /api/hold"):
                    self.on_hold = None
                    hook()
        except OSError:
            pass
        client.close()
        server.close()


def begin(entry, identity, body):
    """Sends a job and leaves its connection open."""
    connection = http.client.HTTPConnection(*entry.callers.rsplit(":", 1), timeout=DEADLINE_MS / 1000 + 1)
    connection.request("POST", PREFIX + identity, json.dumps(body),
                       {"Host": HOST_NAME, "Content-Type": "application/json", "Jackdawpath-Deadline-Ms": str(DEADLINE_MS)})
    return connection


def overlaps(system, identity):
    spans = []
    for runner in system.runners:
        begun = {}
        with runner.lock:
            history = [entry for entry in runner.history if entry[2].startswith(identity)]
        for at, what, task, run in history:
            if what == "begin":
                begun[task, run] = at
            else:
                spans.append((begun.pop((task, run)), at, runner.id, run, task))
        spans.extend((at, system.record.now(), runner.id, run, task) for (task, run), at in begun.items())
    spans.sort()
    return [(first, second) for first, second in zip(spans, spans[1:]) if first[4] == second[4] and first[1] - second[0] > OVERLAP_S]


def play(system, gate, entry, has_trouble, delay):
    record, runner = system.record, gate.runner
    only_here = [{"count": 10, "cpu": 1000, "mem_mb": 16, "estimate_ms": 108, "requires": "k7"}]
    submit(entry, new_id(), job(steps=only_here, work_s=0.1), DEADLINE_MS)  # as busy as a runner is at times: ten open connections
    time.sleep(0.5)
    long_job, left_job = new_id(), new_id()
    stays = begin(entry, long_job, job(cpu=9000, estimate_ms=2700, work_s=WORK_S))
    time.sleep(0.15)
    leaves = begin(entry, left_job, job(cpu=9000, estimate_ms=2700, work_s=WORK_S))
    time.sleep(0.3)
    with runner.lock:
        if not all(any(task.startswith(identity) for task in runner.running) for identity in (long_job, left_job)):
            record.write("the two jobs did not begin on the runner behind the gate")
            return None
    seen = threading.Event()
    started = []

    def on_hold():
        if has_trouble:
            gate.cut()
        started.append(time.monotonic())
        seen.set()

    gate.on_hold = on_hold
    if not seen.wait(5):
        raise RuntimeError("the runner is not polled")
    at = started[0]
    time.sleep(max(at + 0.25 - time.monotonic(), 0))
    record.write("client of job %s leaves" % left_job)
    leaves.sock.close()
    leaves.close()
    time.sleep(max(at + delay - time.monotonic(), 0))
    short = [{"count": 1, "cpu": 1000, "mem_mb": 16, "estimate_ms": 100, "requires": "k7"}]
    record.write("client: a job that only runner %s can run" % runner.id)
    third = begin(entry, new_id(), job(steps=short, work_s=0.1))
    time.sleep(max(at + CUT_S - time.monotonic(), 0))
    found = overlaps(system, long_job)
    if has_trouble:
        gate.heal()
    answer = stays.getresponse()
    record.write("client of job %s: %s %s" % (long_job, answer.status, answer.read().decode()))
    stays.close()
    third.close()
    return found


def case(record, has_trouble):
    system = start_system(record, entries=(1, 1, 1), runners=0, timeout_ms=DEADLINE_MS, target_duration_ms=3000)
    try:
        gated = system.add_runner(ZONES[0], cpu=30000, is_reporting=False)
        gated.labels.append("k7")
        gate = Gate(system, gated)
        threading.Thread(target=gated.beat, daemon=True).start()
        for zone in (ZONES[0], ZONES[0], ZONES[1], ZONES[1], ZONES[2], ZONES[2]):
            system.add_runner(zone)
        time.sleep(5)
        entry = system.entries[0]
        for number in range(len(DELAYS_S)):
            found = play(system, gate, entry, has_trouble, DELAYS_S[number])
            for first, second in found or []:
                record.write("%s at the same time: run %d on %s from %.3f to %.3f, run %d on %s from %.3f to %.3f"
                             % (first[4], first[3], first[2], first[0], first[1], second[3], second[2], second[0], second[1]))
            if any(process.has_ended() for process in system.entries + system.controls):
                raise RuntimeError("a process has ended")
            if found:
                return True
            time.sleep(4)
        return False
    finally:
        system.end()


run_case(os.path.dirname(os.path.abspath(__file__)), case)
