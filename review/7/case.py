"""Another writer sends one heartbeat in a runner's name, without `labels`. Later the runner is emptied:
it reports `draining`, and each of these reports is acknowledged."""

import asyncio
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.dirname(FOLDER))
import parts_2  # noqa: E402

RUNNERS = 14  # One of them is a share of 0.071.
RATE = 40  # Jobs a second.
DRAIN_S = 2.0
SERVES_S = 5.0  # After the acknowledgement: drain_ms, and a little longer.


async def case(fleet, trouble):
    await fleet.start(2, RUNNERS)
    runner = fleet.runners[0]
    draw = random.Random(7)
    jobs = []
    acknowledged = None

    async def traffic(seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            jobs.append(asyncio.create_task(parts_2.run_job(
                fleet, [draw.choice(fleet.entries)], f"{draw.getrandbits(64):016x}",
                parts_2.make_job(2, 200))))
            await asyncio.sleep(1 / RATE)

    def judge(started_on, run):
        parts_2.Fleet.judge_start(fleet, started_on, run)
        late_s = time.monotonic() - acknowledged if acknowledged else 0
        if started_on is runner and late_s > DRAIN_S:
            fleet.fault("DRAIN", f"{run.task} starts {late_s:.3f} s after the acknowledgement")

    fleet.judge_start = judge
    await traffic(parts_2.CONTACT_MS / 1000)
    if trouble:
        odd = runner.describe()
        runner.sequence -= 1
        odd["call_seq"] += 1000
        del odd["labels"]
        reply = await parts_2.call(runner.control_plane, "POST",
                                   f"/instances/{runner.id}/heartbeat", odd)
        fleet.record.add("heartbeat of another writer", status=reply and reply[0])
    await traffic(2)
    runner.state = "draining"
    reply = await runner.heartbeat()
    if reply is None or reply[0] != 200:
        raise RuntimeError("the report isn't acknowledged")
    acknowledged = time.monotonic()
    fleet.record.add("draining is acknowledged", runner=runner.id, status=reply[0])
    await traffic(SERVES_S)
    await parts_2.call(runner.control_plane, "POST", f"/instances/{runner.id}/deregister",
                       {"born": runner.born})
    runner.crash()
    fleet.record.add("the runner has ended", runner=runner.id)
    await asyncio.gather(*jobs)


parts_2.main(case, FOLDER)
