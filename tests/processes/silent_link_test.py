"""Links that go silent for good while new ones work, cut links and slow links."""

from fleet import HOST, expect_every_answer, expect_honest, free_port, run


def test(fleet):
    links = f"{HOST}:{free_port()}"
    relay = fleet.start_relay(links)
    entry = fleet.start_entry("entry-1", links=links, advertise=relay.address)
    fleet.entries = [entry]
    fleet.companions = []
    fleet.endpoints = []
    for number in (1, 2):
        companion = fleet.start_companion(f"companion-{number}", relay.address)
        fleet.companions.append(companion)
        fleet.endpoints.append(fleet.start_endpoint(f"runner-{number}", companion))
    fleet.configure(entry)
    fleet.wait_until_ready()
    load = fleet.start_load(fleet.entries)
    for mode in ("silence", "cut", "silence", "silence"):
        fleet.control(relay, mode)
        fleet.wait_for_answers(load, 50)
    fleet.control(relay, "delay", 100)
    fleet.wait_for_answers(load, 50)
    fleet.control(relay, "delay", 0)
    tally = fleet.stop_load(load)
    expect_honest(tally)
    expect_every_answer(tally)


run(test)
