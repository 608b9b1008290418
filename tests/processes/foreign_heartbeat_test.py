"""Heartbeats that are not those of the endpoint beside a companion: tasks must not run twice.

Guards against runs that a companion reports as ended since a heartbeat of another runner or writer
named another life, while they go on and are repeated elsewhere.

Usage: foreign_heartbeat_test.py BUILD
"""

import asyncio
import os
import sys
import tempfile

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..")
sys.path.insert(0, os.path.join(ROOT, "review"))
sys.dont_write_bytecode = True

import stand_ins  # noqa: E402
from stand_ins import call, make_configuration, new_id, submit  # noqa: E402

CLIENTS = 10
TASKS = 4
WORK_MS = 600
CPU = 800
DEADLINE_MS = 5000
ROUNDS = 3  # Of each kind.
PAUSE_S = 1.2


def use_build(build):
    """Lets the stand-ins start the daemon of this build instead of the deployed one."""
    read_role = stand_ins.read_role

    def read(name):
        command, template = read_role(name)
        return [f"{build}/programs/crocuswoodd/crocuswoodd"] + command[1:], template

    stand_ins.read_role = read


def of_another_endpoint(runner):
    """The sound heartbeat of a runner elsewhere that started later."""
    return "i-0ddba115", dict(runner.describe(), addr="127.0.9.9:9", born=runner.born + 7)


def of_another_service(runner):
    return "i-0ddba116", dict(runner.describe(), service="not-named-here", addr="127.0.9.9:9",
                              born=runner.born + 9)


def without_birth(runner):
    value = runner.describe()
    del value["born"]
    return runner.id, value


def with_birth_as_text(runner):
    return runner.id, dict(runner.describe(), born="yesterday")


def of_another_life(runner):
    """Its own id, as after a restart that never was, or late from an earlier life."""
    return runner.id, dict(runner.describe(), born=runner.born + 11)


KINDS = [of_another_endpoint, of_another_service, without_birth, with_birth_as_text,
         of_another_life]


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
