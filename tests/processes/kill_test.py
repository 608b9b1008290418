"""kill -9 under load: endpoint, companion and entry, each replaced at once."""

from fleet import expect, expect_honest, run


def test(fleet):
    fleet.start_vms(entries=2, companions=3)
    load = fleet.start_load(fleet.entries)

    fleet.endpoints[0].kill()
    fleet.endpoints[0] = fleet.start_endpoint("runner-1", fleet.companions[0])
    fleet.wait_for_answers(load, 50)

    fleet.companions[1].kill()
    fleet.endpoints[1].kill()
    fleet.add_endpoint_vm(2)
    fleet.wait_for_answers(load, 50)

    old = fleet.entries[1]
    old.kill()
    fleet.entries[1] = fleet.start_entry("entry-2", callers=old.callers)
    fleet.wait_for_answers(load, 50)

    # Everything on one VM at the same time as the other entry.
    fleet.companions[2].kill()
    fleet.endpoints[2].kill()
    old = fleet.entries[0]
    old.kill()
    fleet.entries[0] = fleet.start_entry("entry-1", callers=old.callers)
    fleet.add_endpoint_vm(3)
    fleet.wait_for_answers(load, 50)

    tally = fleet.stop_load(load)
    expect_honest(tally)
    expect(tally["completed"] > 200, f"too few answers: {tally}")


run(test)
