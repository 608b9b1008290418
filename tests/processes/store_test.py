"""The store is down, slow, or loses answers after writes took effect, under load."""

from fleet import TEAM, expect, expect_every_answer, expect_honest, run

IDEMPOTENT = [f"pivot-check,team={TEAM},run_ms=60"]
NON_IDEMPOTENT = [f"sale,team={TEAM},run_ms=50,keys"]


def test(fleet):
    fleet.start_vms(entries=2, companions=2)
    checks = fleet.start_load(fleet.entries, rate=40, jobs=IDEMPOTENT)
    sales = fleet.start_load(fleet.entries, rate=20, jobs=NON_IDEMPOTENT)
    for mode, delay_ms in (("lose_answers", 0), ("slow", 700), ("down", 0)):
        fleet.control(fleet.platform, mode, delay_ms)
        # Work that needs no claim goes on without the store.
        fleet.wait_for_answers(checks, 80)
        fleet.control(fleet.platform, "ok")
        fleet.wait_for_answers(sales, 30)
    checked = fleet.stop_load(checks)
    expect_honest(checked)
    expect_every_answer(checked)
    sold = fleet.stop_load(sales)
    expect_honest(sold)
    expect(sold["completed"] >= 90, f"too few sales: {sold}")


run(test)
