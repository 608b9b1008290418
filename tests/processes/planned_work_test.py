"""Planned work, in series and overlapping, breaks off no whole request.

    planned_work_test.py BUILD             the seeds of KEPT_SEEDS, as CI does
    planned_work_test.py BUILD SEED...     these seeds
    planned_work_test.py BUILD --fresh N   N seeds drawn now; each is printed before it runs

ENTRIES and VMS in the environment set the numbers of entries and of companions with an endpoint.
"""

import os
import random
import sys

import fleet as fleet_module
from fleet import TEAM, run
from planned_work import PASSING, PlannedWork

# Each has failed once. What broke requests off:
# 1: a connection reached its idle limit while a request crossed; no stop
# 2: a stop ended its intake while requests lay unread in the sockets of a late entry; later, the
#    listening socket closed before the report of a connection that had been accepted
# 3: a second SIGTERM ended the entry at once, beside SIGHUP; later, as 2
# 4: as 2, on a connection with a travel time, beside changes of the configuration
KEPT_SEEDS = [1, 2, 3, 4]
ENTRIES = int(os.environ.get("ENTRIES", "2"))
VMS = int(os.environ.get("VMS", "3"))

STEPS = 4
CALLERS_OF_ENTRY = 120
ONE_THREAD = """intervals: {heartbeat: 100ms, silence: 600ms, platform_poll: 200ms}
threads: one"""


def planned(seed):
    def test(fleet):
        print("seed:", seed, flush=True)
        fleet.entries, fleet.companions, fleet.endpoints = [], [], []
        work = PlannedWork(fleet, seed)
        for number in range(1, ENTRIES + 1):
            fleet.entries.append(fleet.start_entry(f"entry-{number}", limits=work.limits()))
        for _ in range(VMS):
            work.add_vm()
        fleet.configure(fleet.entries[0])
        fleet.put(fleet.entries[0], "/v1/classes/passing", PASSING)
        fleet.wait_until_ready()
        work.start_callers(CALLERS_OF_ENTRY * ENTRIES)
        for _ in range(STEPS):
            work.step(most=ENTRIES + 1)
        work.finish()

    plain = fleet_module.INTERVALS
    fleet_module.INTERVALS = ONE_THREAD if seed % 2 == 0 else plain
    run(test)
    fleet_module.INTERVALS = plain


def choose_seeds(words):
    if words[:1] == ["--fresh"]:
        return [random.randrange(1, 1_000_000) for _ in range(int(words[1]))]
    return [int(word) for word in words] or KEPT_SEEDS


for chosen_seed in choose_seeds(sys.argv[2:]):
    planned(chosen_seed)
