"""Stand-ins of the platform for the scripts of the second review: processes of the system with their settings, runners, an operator,
clients and a TCP proxy. Python's standard library only. All addresses are loopback addresses."""

import http.client
import json
import os
import random
import select
import shutil
import signal
import socket
import socketserver
import subprocess
import tempfile
import threading
import time
import uuid
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
ZONES = ["zadar-obala", "split-obala", "dubrovnik-obala"]
HOST_NAME = "nony24.example"
PREFIX = "/lohu930/"
SERVICE = "cuvo93a"

BOUNDS = {"hold_max_ms": 1000, "heartbeat_ms": 1500, "stop_timeout_ms": 50, "grace_s": 6, "cancel_ms": 3000, "retry_ms": 1300,
          "drain_ms": 2000, "contact_ms": 3000, "ack_ms": 4000}


class Record:
    """record.txt: what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.begin = time.monotonic()
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.begin

    def write(self, text):
        with self.lock:
            self.file.write("%8.3f  %s\n" % (self.now(), text))
            self.file.flush()


def free_port(address):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind((address, 0))
        return probe.getsockname()[1]


def call(address, method, path, body=None, headers=None, timeout=5.0):
    """One request on its own connection. Returns (status, body, headers); status None without an answer."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        data = json.dumps(body) if isinstance(body, (dict, list)) else body
        all_headers = {"Content-Type": "application/json"}
        all_headers.update(headers or {})
        connection.request(method, path, data, all_headers)
        answer = connection.getresponse()
        return answer.status, answer.read().decode(errors="replace"), dict(answer.getheaders())
    except (OSError, http.client.HTTPException) as failure:
        return None, repr(failure), {}
    finally:
        connection.close()


class Process:
    def __init__(self, name, program, settings, folder, record):
        self.name, self.program, self.folder, self.record = name, program, folder, record
        self.settings_path = os.path.join(folder, name + ".toml")
        with open(self.settings_path, "w") as out:
            out.write(settings)
        self.child = None
        self.log = os.path.join(folder, name + ".log")

    def start(self):
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        self.child = subprocess.Popen([os.path.join(ROOT, "target/bin", self.program), "--settings", self.settings_path], cwd=ROOT,
                                      env=environment, stdout=open(self.log, "a"), stderr=subprocess.STDOUT)
        self.record.write("started %s, process %d" % (self.name, self.child.pid))

    def signal(self, number):
        self.record.write("%s gets %s" % (self.name, signal.Signals(number).name))
        self.child.send_signal(number)

    def has_ended(self):
        return self.child is not None and self.child.poll() is not None

    def memory(self, key="VmHWM"):
        """Megabytes of the process, from its status in /proc."""
        try:
            with open("/proc/%d/status" % self.child.pid) as status:
                for line in status:
                    if line.startswith(key + ":"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0

    def descriptors(self):
        try:
            return len(os.listdir("/proc/%d/fd" % self.child.pid))
        except OSError:
            return 0

    def end(self):
        if self.child and self.child.poll() is None:
            self.child.send_signal(signal.SIGCONT)
            self.child.kill()
            self.child.wait()


class Runner:
    """A runner of the platform's pages. It does what a start, a stop and a hold say, keeps the highest token, its leases and its ends."""

    def __init__(self, system, zone, cpu=64000, rack="r1-1", clock_rate=1.0, is_reporting=True):
        self.system, self.record, self.zone, self.cpu = system, system.record, zone, cpu
        self.id = "i-" + uuid.uuid4().hex[:8]
        self.labels = ["a", rack]
        self.clock_rate = clock_rate
        self.born = int(time.time() * 1000)
        self.begin = time.monotonic()
        self.lock = threading.Condition()
        self.token, self.lease_end, self.sequence, self.number = 0, 0, 0, 0
        self.running = {}  # task -> [run, begun, work seconds]
        self.over = {}  # task -> highest run that was stopped or has ended
        self.ends = []  # [number, task, run, how, saved]
        self.history = []  # (time, "begin" or how, task, run)
        self.state = "ready"
        self.is_up = True
        self.work_s = lambda task, spec: float(json.loads(spec).get("work_s", 0.1)) if spec.startswith("{") else 0.1
        runner = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_):
                pass

            def do_POST(self):
                body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
                status, answer = runner.answer(self.path, self.headers, body)
                if status is None:
                    self.close_connection = True
                    return
                data = json.dumps(answer).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

        class Server(ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 256

            def handle_error(self, *_):
                pass

        self.server = Server((system.address("runner"), 0), Handler)
        self.own_address = "%s:%d" % self.server.server_address[:2]
        self.address = self.own_address
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        threading.Thread(target=self.tick, daemon=True).start()
        if is_reporting:
            threading.Thread(target=self.beat, daemon=True).start()

    def clock_ms(self):
        return 100000 + int((time.monotonic() - self.begin) * 1000 * self.clock_rate)

    def note(self, what, task, run):
        self.history.append((self.record.now(), what, task, run))
        self.record.write("runner %s: %s %s run %d" % (self.id, what, task, run))

    def finish(self, task, how):  # with the lock held
        run = self.running.pop(task)[0]
        self.over[task] = max(self.over.get(task, 0), run)
        self.number += 1
        self.ends.append([self.number, task, run, how, ""])
        self.note("end " + how + " of", task, run)
        self.lock.notify_all()

    def tick(self):
        while self.is_up:
            time.sleep(0.005)
            with self.lock:
                now = time.monotonic()
                if self.running and self.clock_ms() >= self.lease_end:
                    for task in list(self.running):
                        self.finish(task, "lapsed")
                for task, (run, begun, work) in list(self.running.items()):
                    if now - begun >= work:
                        self.finish(task, "done")

    def extend(self, body):
        if body.get("expires_at_ms"):
            limit = self.clock_ms() + BOUNDS["hold_max_ms"]
            self.lease_end = max(self.lease_end, min(int(body["expires_at_ms"]), limit))

    def answer(self, path, headers, raw):
        body = json.loads(raw)
        with self.lock:
            if headers.get("Jackdawpath-Expected-Instance", self.id) != self.id:
                return 421, {"clock_ms": self.clock_ms()}
            token = int(body.get("fencing_token", 0))
            if token < self.token:
                return 409, {"clock_ms": self.clock_ms(), "reason": "fence", "born": self.born}
            self.token = token
            if path == "/api/run-start":
                return self.run_start(body)
            if path == "/api/run-stop":
                task, run = body["task"], int(body["run"])
                self.over[task] = max(self.over.get(task, 0), run)
                if task in self.running and self.running[task][0] <= run:
                    self.finish(task, "stopped")
                return 200, {"clock_ms": self.clock_ms(), "born": self.born}
            if path != "/api/hold":
                return 400, {"clock_ms": self.clock_ms()}
            self.extend(body)
            cursor = int(body.get("ack_cursor", 0))
            self.ends = [end for end in self.ends if end[0] > cursor]
            until = time.monotonic() + min(int(body.get("wait_ms", 0)), 2000) / 1000
            while not self.ends and time.monotonic() < until:
                self.lock.wait(max(until - time.monotonic(), 0))
            running = [[task, run, "", int(min(100, (time.monotonic() - begun) / max(work, 0.001) * 100)), 1000]
                       for task, (run, begun, work) in self.running.items()]
            return 200, {"clock_ms": self.clock_ms(), "running": running, "finished": self.ends[:500], "born": self.born}

    def run_start(self, body):
        task, run = body["task"], int(body["run"])
        clock = {"clock_ms": self.clock_ms(), "born": self.born}
        if task in self.running and self.running[task][0] == run:
            return 200, clock
        if run <= self.over.get(task, 0) or task in self.running:
            self.extend(body)
            return 409, dict(clock, reason="old")
        if int(body.get("expires_at_ms", 0)) <= self.clock_ms():
            return 409, dict(clock, reason="late")
        self.extend(body)
        self.running[task] = [run, time.monotonic(), self.work_s(task, body.get("spec", ""))]
        self.note("begin", task, run)
        return 200, clock

    def report(self):
        self.sequence += 1
        return {"service": SERVICE, "address": self.address, "zone": self.zone, "version": "v1", "slots": 8, "state": self.state,
                "cold_left_ms": 0, "capacity": {"cpu": self.cpu, "mem_mb": 131072, "gpu": 0}, "labels": self.labels,
                "clock_ms": self.clock_ms(), "sequence": self.sequence, "born": self.born}

    def beat(self):
        while self.is_up:
            for address in random.sample(self.system.control_addresses, len(self.system.control_addresses)):
                status, _, _ = call(address, "POST", "/api/instances/%s/heartbeat" % self.id, self.report(), timeout=1.0)
                if status and 200 <= status < 300:
                    break
            time.sleep(BOUNDS["heartbeat_ms"] / 1000)

    def end(self):
        self.is_up = False
        self.server.shutdown()
        self.server.server_close()


class System:
    """Three control hosts and the entry hosts of each zone, with settings as the deploy file's templates give them."""

    def __init__(self, record, entries=(2, 2, 1), cores=None, memory_mb=260):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="jackdaw-review-")
        self.base = "127.%d.%d" % (random.randint(10, 250), random.randint(0, 250))
        self.count = 0
        self.runners = []
        first = self.address("core")
        self.control_mesh, self.entry_mesh = free_port(first), free_port(first)
        self.operators, self.callers, self.ready = free_port(first), free_port(first), free_port(first)
        hosts = [first, self.address("core"), self.address("core")]
        self.control_addresses = ["%s:%d" % (host, self.operators) for host in hosts]
        seeds = json.dumps(self.control_addresses)
        self.controls, self.entries = [], []
        for number, host in enumerate(hosts):
            data = os.path.join(self.folder, "core-%d" % number)
            os.mkdir(data)
            text = 'name = "core-%d"\nhost = "%s"\ndata_folder = "%s"\nseeds = %s\nfirst_start = true\ntolerated_losses = 1\n' % (number, host, data, seeds)
            text += 'operators = "%s:%d"\ncontrol_mesh_port = %d\nentry_mesh_port = %d\nmetrics_port = 9464\n' % (host, self.operators, self.control_mesh, self.entry_mesh)
            process = Process("core-%d" % number, "jackdaw-platform-control", text, self.folder, record)
            process.host = host
            self.controls.append(process)
        for zone, amount in zip(ZONES, entries):
            for number in range(amount):
                host = self.address("edge")
                name = "edge-%s-%d" % (zone, number + 1)
                text = 'name = "%s"\nhost = "%s"\nzone = "%s"\nprocessor_cores = 0.25\nseeds = %s\n' % (name, host, zone, seeds)
                text += 'callers = "%s:%d"\nreadiness = "%s:%d"\ncontrol_mesh_port = %d\nentry_mesh_port = %d\n' % (host, self.callers, host, self.ready, self.control_mesh, self.entry_mesh)
                text += 'max_lease_ms = %d\nreport_interval_ms = %d\ntask_stop_ms = %d\ngrace_s = %d\nmetrics_port = 9464\n' % (BOUNDS["hold_max_ms"], BOUNDS["heartbeat_ms"], BOUNDS["stop_timeout_ms"], BOUNDS["grace_s"])
                process = Process(name, "jackdaw-platform-entry", text, self.folder, record)
                process.host, process.zone = host, zone
                process.callers = "%s:%d" % (host, self.callers)
                process.readiness = "%s:%d" % (host, self.ready)
                self.entries.append(process)

    def address(self, _kind):
        self.count += 1
        return "%s.%d" % (self.base, self.count)

    def start(self):
        for process in self.controls + self.entries:
            process.start()

    def add_runner(self, zone, **options):
        runner = Runner(self, zone, **options)
        self.runners.append(runner)
        return runner

    def configure(self, version, text=None, timeout_s=20, **route):
        """Sends a configuration until it is acknowledged, as the operator does. Returns the status of the last answer."""
        body = text if text is not None else configuration(version, **route)
        until = time.monotonic() + timeout_s
        status = None
        while time.monotonic() < until:
            for address in self.control_addresses:
                for _ in range(3):
                    status, answer, headers = call(address, "POST", "/api/config/replace", body, timeout=1.0)
                    if status != 307:
                        break
                    address = headers["Location"].split("/")[2]
                self.record.write("operator: version %s at %s: %s %s" % (version, address, status, answer[:120]))
                if status == 200 or (status and 400 <= status < 500 and status not in (408, 429)):
                    return status
            time.sleep(0.3)
        return status

    def is_ready(self, entry):
        return call(entry.readiness, "GET", "/api/ready", timeout=1.0)[0] == 200

    def wait_ready(self, timeout_s=25):
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            if all(self.is_ready(entry) for entry in self.entries if not entry.has_ended()):
                return True
            time.sleep(0.2)
        return False

    def end(self):
        for process in self.entries + self.controls:
            process.end()
        for runner in self.runners:
            runner.end()
        shutil.rmtree(self.folder, ignore_errors=True)


def configuration(version, timeout_ms=1500, max_attempts=2, target_duration_ms=60, slack_factor=1.6, extra_routes=()):
    route = {"name": "r-3hwrr6x", "host": HOST_NAME, "path_prefix": PREFIX, "kind": "non_idempotent", "timeout_ms": timeout_ms,
             "target_duration_ms": target_duration_ms, "priority": 0, "service": SERVICE, "max_attempts": max_attempts, "slack_factor": slack_factor}
    return {"version": version, "routes": [route, *extra_routes],
            "services": [{"name": SERVICE, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": False, "enforce_limits": False, "standby": False}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


def job(count=1, cpu=27000, estimate_ms=60, work_s=None, steps=None):
    spec = json.dumps({"work_s": work_s if work_s is not None else estimate_ms / 1000})
    return {"spec": spec, "best_effort": True,
            "steps": steps or [{"count": count, "cpu": cpu, "mem_mb": 64, "estimate_ms": estimate_ms}]}


def new_id():
    return uuid.uuid4().hex[:16]


def submit(entry, identity, body, deadline_ms=1500, timeout=None):
    headers = {"Host": HOST_NAME, "Jackdawpath-Deadline-Ms": str(deadline_ms)}
    return call(entry.callers, "POST", PREFIX + identity, body, headers, timeout or deadline_ms / 1000 + 1)


def cancel(entry, identity, timeout=2.0):
    return call(entry.callers, "DELETE", PREFIX + identity, None, {"Host": HOST_NAME}, timeout)


def run_case(folder, body):
    """Runs body(record, has_trouble), which returns True if the rule was broken. Exits with 1, 0, or 2 if the case could not run."""
    record = Record(os.path.join(folder, "record.txt"))
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write("trouble: %s" % ("yes" if has_trouble else "no"))
    status = 2
    try:
        status = 1 if body(record, has_trouble) else 0
    except Exception as failure:  # noqa: BLE001: whatever stops the case, it could not run
        record.write("could not run: %r" % failure)
    record.write("exit status %d" % status)
    os._exit(status)


def start_system(record, entries=(2, 2, 1), runners=3, **route):
    """A system that serves: a configuration is acknowledged, all entry hosts are ready, and all runners have reported."""
    system = System(record, entries)
    try:
        system.start()
        for zone in ZONES:
            for number in range(runners):
                system.add_runner(zone, rack="r%d-%d" % (ZONES.index(zone) + 1, number // 8 + 1))
        if system.configure(1, **route) != 200 or not system.wait_ready():
            raise RuntimeError("the system did not become ready")
        time.sleep(2 * BOUNDS["heartbeat_ms"] / 1000 + 1)
        return system
    except BaseException:
        system.end()
        raise
