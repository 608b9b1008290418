"""An entry freezes for 4 s. Clients that get no answer hand their jobs in again elsewhere. When the
entry wakes, the requests of those who have left still lie in its sockets."""

import asyncio
import collections
import os
import random
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.dirname(FOLDER))
import parts_2  # noqa: E402

RATE = 40  # New connections a second.
WORK_MS = 900
FREEZE_S = 4.0


class Balancer:
    """The platform's: it takes an entry out of rotation after two misses."""

    def __init__(self, entries):
        self.entries = entries
        self.misses = {entry.name: 0 for entry in entries}

    async def watch(self):
        while True:
            await asyncio.gather(*(self.look(entry) for entry in self.entries))

    async def look(self, entry):
        begin = time.monotonic()
        reply = await parts_2.call(entry.readiness, "GET", "/health", limit_s=1.0)
        ready = reply is not None and reply[0] == 200
        self.misses[entry.name] = 0 if ready else self.misses[entry.name] + 1
        await asyncio.sleep(max(0, begin + 1 - time.monotonic()))

    def choose(self):
        """The entries in the order in which one client's attempts reach them."""
        ready = [each for each in self.entries if self.misses[each.name] < 2]
        return ready + [each for each in self.entries if each not in ready]


async def case(fleet, trouble):
    await fleet.start(2, 2)
    balancer = Balancer(fleet.entries)
    watch = asyncio.create_task(balancer.watch())
    draw = random.Random(6)
    jobs = []

    async def traffic(seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            jobs.append(asyncio.create_task(parts_2.run_job(
                fleet, balancer.choose(), f"{draw.getrandbits(64):016x}",
                parts_2.make_job(1, WORK_MS, cpu=300))))
            await asyncio.sleep(1 / RATE)

    await traffic(2)
    if trouble:
        fleet.entries[0].send(signal.SIGSTOP)
    await traffic(FREEZE_S)
    if trouble:
        fleet.entries[0].send(signal.SIGCONT)
    await traffic(2)
    answers = collections.Counter(await asyncio.gather(*jobs))
    fleet.record.add("answers", **{str(status): count for status, count in answers.items()})
    watch.cancel()


parts_2.main(case, FOLDER)
