"""Every VM is replaced by a planned stop, one after another, under load."""

from fleet import expect_every_answer, expect_honest, request, run, wait_until


def is_ready(process):
    return request("GET", process.operators, "/health")[0] == 200


def test(fleet):
    fleet.start_vms(entries=2, companions=3)
    load = fleet.start_load(fleet.entries)
    for number in range(3):
        old_companion, old_endpoint = fleet.companions[number], fleet.endpoints[number]
        fleet.add_endpoint_vm(number + 4)
        wait_until(lambda: is_ready(fleet.companions[-1]), "the new companion is ready")
        old_endpoint.stop()
        old_companion.stop()
        fleet.wait_for_answers(load, 30)
    for number in range(2):
        old = fleet.entries[number]
        old.stop()
        fleet.entries[number] = fleet.start_entry(old.name, callers=old.callers)
        wait_until(lambda: is_ready(fleet.entries[number]), "the new entry is ready")
        fleet.wait_for_answers(load, 30)
    tally = fleet.stop_load(load)
    expect_honest(tally)
    expect_every_answer(tally)


run(test)
