"""Measures real processes on loopback: idle cost of each daemon, added latency, throughput.

Usage: bench_processes.py BUILD. Figures go to standard output; there is no verdict.
"""

import json
import os
import sys
import tempfile
import time

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..")
sys.path.insert(0, os.path.join(ROOT, "tests", "processes"))
sys.dont_write_bytecode = True

import fleet as fleet_module  # noqa: E402
from fleet import Fleet, request  # noqa: E402

IDLE_SECONDS = 20
LOAD_SECONDS = 10
SLOTS = 64
ENDPOINTS = 4


def cpu_seconds(process):
    """User and system time of a process."""
    with open(f"/proc/{process.popen.pid}/stat", encoding="ascii") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_mb(process):
    with open(f"/proc/{process.popen.pid}/status", encoding="ascii") as file:
        for line in file:
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
    return 0.0


def measure_idle(fleet):
    daemons = fleet.entries + fleet.companions
    before = {daemon.name: cpu_seconds(daemon) for daemon in daemons}
    time.sleep(IDLE_SECONDS)
    for daemon in daemons:
        share = (cpu_seconds(daemon) - before[daemon.name]) / IDLE_SECONDS
        print(f"idle {daemon.name}: {100 * share:.2f} % of a core, {resident_mb(daemon):.1f} MB")


def measure_load(fleet, label, rate, run_ms, tasks, connections):
    command = fleet.stand_in("load") + [
        "--entry", fleet.entries[0].callers, "--connections", str(connections),
        "--rate", str(rate), "--seconds", str(LOAD_SECONDS),
        "--job", f"pivot-check,team={fleet_module.TEAM},run_ms={run_ms},tasks={tasks}"]
    before = cpu_seconds(fleet.entries[0])
    load = fleet.start("load", command)
    load.popen.wait(timeout=120)
    spent = cpu_seconds(fleet.entries[0]) - before
    tally = json.loads(load.read_log().splitlines()[-1])
    print(f"{label}: {tally['tasks_per_second']:.0f} tasks/s, completed {tally['completed']} of "
          f"{tally['sent']}, errors {tally['errors']}, added p50 "
          f"{tally['added_ms']['p50']:.2f} ms, p99 {tally['added_ms']['p99']:.2f} ms, entry "
          f"{100 * spent / tally['elapsed_s']:.0f} % of a core, "
          f"{resident_mb(fleet.entries[0]):.0f} MB", flush=True)


def main():
    with tempfile.TemporaryDirectory(prefix="crocuswood-bench-") as folder:
        fleet = Fleet(os.path.abspath(sys.argv[1]), folder)
        fleet_module.INTERVALS = ""
        # Generous targets, so that no admission shapes the figures.
        fleet_module.CLASSES = [{"name": "pivot-check", "answer_within": "30s",
                                 "refuse_at_most": 0.5, "idempotent": True}]
        try:
            fleet.entries = [fleet.start_entry("entry-1")]
            fleet.companions, fleet.endpoints = [], []
            for number in range(1, ENDPOINTS + 1):
                companion = fleet.start_companion(f"companion-{number}", fleet.entries[0].links)
                fleet.companions.append(companion)
                fleet.endpoints.append(
                    fleet.start_endpoint(f"runner-{number}", companion, slots=SLOTS))
            fleet.configure(fleet.entries[0])
            fleet.wait_until_ready()
            measure_idle(fleet)
            measure_load(fleet, "half load, 20 ms tasks", 1000, 20, 1, 64)
            measure_load(fleet, "closed loop, 1 task a job", 0, 1, 1, 128)
            measure_load(fleet, "closed loop, 20 tasks a job", 0, 1, 20, 32)
            print(json.dumps(request("GET", fleet.entries[0].operators, "/v1/status")[1]
                             ["messages"]))
        finally:
            for process in fleet.processes:
                process.end()


main()
