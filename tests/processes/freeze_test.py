"""SIGSTOP and SIGCONT under load: paused holders do no harm when they wake up."""

import time

from fleet import expect_honest, run

# Longer than the silence limit of the settings, so that the others give up the link.
PAUSE_S = 3


def pause(process):
    process.freeze()
    time.sleep(PAUSE_S)
    process.thaw()


def test(fleet):
    fleet.start_vms(entries=2, companions=3)
    load = fleet.start_load(fleet.entries)
    for process in (fleet.companions[0], fleet.entries[0], fleet.endpoints[1],
                    fleet.companions[0]):
        pause(process)
        fleet.wait_for_answers(load, 50)
    # Both ends of a link at once, and the store with them.
    for process in (fleet.entries[1], fleet.companions[1], fleet.platform):
        process.freeze()
    time.sleep(PAUSE_S)
    for process in (fleet.platform, fleet.companions[1], fleet.entries[1]):
        process.thaw()
    fleet.wait_for_answers(load, 50)
    expect_honest(fleet.stop_load(load))


run(test)
