"""SIGTERM under load: a companion, its endpoint and an entry stop and cut off nothing."""

from fleet import expect_every_answer, expect_honest, run


def test(fleet):
    fleet.start_vms(entries=2, companions=3)
    load = fleet.start_load(fleet.entries)
    fleet.endpoints[0].stop()
    fleet.wait_for_answers(load, 30)
    fleet.companions[0].stop()
    fleet.wait_for_answers(load, 30)
    # A companion that stops while its endpoint still serves.
    fleet.companions[1].stop()
    fleet.wait_for_answers(load, 30)
    fleet.entries[1].stop()
    fleet.wait_for_answers(load, 30)
    tally = fleet.stop_load(load)
    expect_honest(tally)
    expect_every_answer(tally)


run(test)
