"""The fleet of scripts/demo.sh: both deployments' classes, one endpoint that leaves, one story.

Usage: demo_fleet.py BUILD
"""

import json
import os
import subprocess
import sys
import tempfile

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..")
sys.path.insert(0, os.path.join(ROOT, "tests", "processes"))
sys.dont_write_bytecode = True

import fleet as fleet_module  # noqa: E402
from fleet import Failure, Fleet, expect  # noqa: E402

CLASSES = [
    # name, answer within, share that may be refused, idempotent, milliseconds, tasks
    ("pivot-check", "400ms", 0.01, True, 60, 1),
    ("dial-sweep", "3s", 0.05, True, 120, 6),
    ("tension-reading", "1s", 0.02, True, 90, 2),
    ("scale-check", "400ms", 0.01, True, 50, 1),
    ("bale-grade", "4s", 0.05, True, 150, 8),
    ("sale", "2s", 0.02, False, 40, 1),
]
TEAMS = ["valbrenta", "fraser-reach"]


def team_of(name):
    return TEAMS[1] if name in ("scale-check", "bale-grade", "sale") else TEAMS[0]


class Demo:
    """Runs the command line against a fleet and prints what it says."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.program = f"{fleet.build}/programs/crocuswood/crocuswood"

    def command(self, *arguments, entry=0, show=True):
        environment = dict(os.environ,
                           CROCUSWOOD_OPERATORS=self.fleet.entries[entry].operators,
                           CROCUSWOOD_CALLERS=self.fleet.entries[entry].callers)
        if show:
            print("\n$ crocuswood " + " ".join(arguments), flush=True)
        done = subprocess.run([self.program, *arguments], env=environment, text=True,
                              capture_output=True, check=False)
        if show:
            print(done.stdout + done.stderr, end="", flush=True)
        expect(done.returncode == 0, f"crocuswood {arguments[0]} ended with {done.returncode}")
        return done.stdout

    def configure(self):
        for name, within, refuse, idempotent, _, _ in CLASSES:
            self.command("class", "set", name, "--answer-within", within, "--refuse-at-most",
                         str(refuse), "--idempotent", "yes" if idempotent else "no")
        for team in TEAMS:
            self.command("team", "set", team)
        self.command("class", "list")

    def submit_one_of_each(self):
        answers = {}
        for name, _, _, idempotent, milliseconds, tasks in CLASSES:
            arguments = ["submit", "--class", name, "--team", team_of(name), "--json"]
            for _ in range(tasks):
                arguments += ["--task", json.dumps({"sleep_ms": milliseconds})]
            if not idempotent:
                arguments += ["--key", "demo-sale-1"]
            answer = json.loads(self.command(*arguments, entry=1))
            expect(len(answer["results"]) == tasks, f"the answer of {name} is not whole")
            answers[name] = answer["job"]
        return answers

    def load_arguments(self):
        jobs = []
        for name, _, _, idempotent, milliseconds, tasks in CLASSES:
            keys = "" if idempotent else ",keys"
            jobs.append(f"{name},team={team_of(name)},run_ms={milliseconds},tasks={tasks}{keys}")
        return jobs


def show_story(demo):
    job = demo.submit_one_of_each()["dial-sweep"]
    demo.command("status")
    demo.command("timeline", "--job", job)
    demo.command("explain", job)


def run_demo(fleet):
    demo = Demo(fleet)
    fleet.entries = [fleet.start_entry(f"entry-{number}") for number in (1, 2)]
    fleet.companions = []
    fleet.endpoints = []
    fleet_module.CLASSES = [{"name": item[0]} for item in CLASSES]
    for number in (1, 2, 3):
        fleet.add_endpoint_vm(number)
    demo.configure()
    fleet.wait_until_ready()
    print("\nCallers submit jobs of every class; endpoint runner-1 leaves meanwhile.", flush=True)
    load = fleet.start_load(fleet.entries, rate=30, jobs=demo.load_arguments())
    fleet.endpoints[0].stop()
    fleet.wait_for_answers(load, 60)
    tally = fleet.stop_load(load)
    expect(tally["completed"] == tally["sent"], f"some answers were not whole: {tally}")
    show_story(demo)
    print("\nEvery process stops as planned; then the checker judges all time lines.", flush=True)
    fleet.stop_everything()
    fleet.check()


def main():
    with tempfile.TemporaryDirectory(prefix="crocuswood-demo-") as folder:
        fleet = Fleet(os.path.abspath(sys.argv[1]), folder)
        try:
            run_demo(fleet)
        except Failure as failure:
            print(f"FAILED: {failure}", flush=True)
            sys.exit(1)
        finally:
            for process in fleet.processes:
                process.end()
    print("The demo is done: every answer was whole.")


main()
