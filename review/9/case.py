"""An operator sends a configuration that can't be read in full. The check is CONFIG: it must be refused, and must not be in force."""

import json
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
from standins import BOUNDS, call, configuration, job, new_id, run_case, start_system, submit  # noqa: E402


def read_back(system):
    """The configuration as a control host gives it: (status, body)."""
    for address in system.control_addresses:
        status, body, headers = call(address, "GET", "/api/config/get", timeout=2.0)
        if status == 307:
            status, body, headers = call(headers["Location"].split("/")[2], "GET", "/api/config/get", timeout=2.0)
        if status == 200:
            return status, body
    return status, body


def is_json(text):
    try:
        json.loads(text)
        return True
    except ValueError:
        return False


def case(record, has_trouble):
    system = start_system(record)
    try:
        whole = configuration(5)
        whole["routes"] = []
        # The bytes after the first document belong to nothing: the body as a whole is no JSON, and not what any operator meant.
        invalid = json.dumps(whole).encode() + b'\0{"version":5,"routes":[{"name":"r-3hwrr6x","host":"nony24'
        if is_json(invalid.decode()):
            raise RuntimeError("the body can be read")
        status = None
        if has_trouble:
            status = system.configure(5, text=invalid, timeout_s=10)
            record.write("operator: an invalid configuration of version 5: %s" % status)
        time.sleep(BOUNDS["contact_ms"] / 1000)
        get, body = read_back(system)
        record.write("operator: GET: %s, %d bytes, %s" % (get, len(body), "JSON of version %s" % json.loads(body)["version"] if is_json(body) else "not JSON: ..." + repr(body[-60:])))
        answers = [submit(entry, new_id(), job(cpu=9000, estimate_ms=60)) for entry in system.entries]
        for entry, answer in zip(system.entries, answers):
            record.write("client: a job of the route at %s: %s %s" % (entry.name, answer[0], answer[1]))
        if get != 200 or any(process.has_ended() for process in system.entries + system.controls):
            raise RuntimeError("the configuration could not be read back, or a process has ended")
        is_in_force = not is_json(body) or json.loads(body)["version"] != 1 or any(answer[0] == 404 for answer in answers)
        return status == 200 or is_in_force
    finally:
        system.end()


run_case(os.path.dirname(os.path.abspath(__file__)), case)
