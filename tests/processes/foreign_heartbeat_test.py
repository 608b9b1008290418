"""Heartbeats that are not those of the endpoint beside a companion: tasks must not run twice.

Guards against runs that a companion reports as ended since a heartbeat of another runner or writer
named another life, while they go on and are repeated elsewhere.

Usage: foreign_heartbeat_test.py BUILD
"""

import asyncio
import os
import sys
import tempfile

from site_stand_ins import KINDS, stand_ins, use_build

from stand_ins import call, make_configuration, new_id, submit

CLIENTS = 10
TASKS = 4
WORK_MS = 600
CPU = 800
DEADLINE_MS = 5000
ROUNDS = 3  # Of each kind.
PAUSE_S = 1.2


async def keep_sending(fleet, number, statuses):
    while True:
        entry = fleet.entries[number % len(fleet.entries)]
        status, value = await submit(fleet, entry.frontend, new_id(), TASKS, WORK_MS, CPU,
                                     DEADLINE_MS)
        statuses.append((status, (value or {}).get("state") if isinstance(value, dict) else None))


async def send_foreign(fleet, kind):
    runner = max(fleet.runners, key=lambda each: len(each.runs))
    name, value = kind(runner)
    status, _ = await call(runner.companion, "POST", f"/instances/{name}/heartbeat", value)
    fleet.record.add("foreign heartbeat", kind=kind.__name__, to=runner.id,
                     runs=len(runner.runs), answer=status)


async def play(fleet):
    await fleet.start(make_configuration(7, target_ms=3000))
    statuses = []
    traffic = [asyncio.create_task(keep_sending(fleet, number, statuses))
               for number in range(CLIENTS)]
    await asyncio.sleep(2)
    for _ in range(ROUNDS):
        for kind in KINDS:
            await send_foreign(fleet, kind)
            await asyncio.sleep(PAUSE_S)
    for task in traffic:
        task.cancel()
    await asyncio.sleep(1)
    return statuses


async def run(folder, record):
    fleet = stand_ins.Fleet(folder, record)
    try:
        statuses = await asyncio.wait_for(play(fleet), 100)
        return fleet.judge.faults, statuses
    finally:
        fleet.close()


def main():
    use_build(os.path.abspath(sys.argv[1]))
    with tempfile.TemporaryDirectory(prefix="crocuswood-heartbeats-") as folder:
        record = stand_ins.Record(os.path.join(folder, "record.txt"))
        faults, statuses = asyncio.run(run(folder, record))
    for rule, text in faults[:20]:
        print(f"{rule}: {text}")
    failed = [each for each in statuses if each != (200, "completed")]
    print(f"{len(faults)} broken rules; {len(statuses)} answers, {len(failed)} not completed")
    for each in failed[:5]:
        print(each)
    sys.exit(1 if faults or failed or not statuses else 0)


main()
