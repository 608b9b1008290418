"""Planned work beside raw callers: stops, hangups, settings and changes of the configuration.

Nothing here kills a process or cuts a link, so no whole request may be broken off. Entries are
paused for a moment beside their stop, so that requests lie unread in their sockets, as on a
machine with less processor time.
"""

import glob
import json
import os
import random
import signal
import threading
import time

from fleet import CLASSES, TEAM, Failure, expect, request, wait_until
from raw_callers import RawCallers

MOST_AT_ONCE = 3
PAUSE_S = (0.05, 0.4)
# Callers that connect while an entry stops, in each of the waits for its end.
RUSH = 40
RUSH_S = 0.1
ANSWER_LIMIT_S = 30
MOST_EXPLAINED = 20
PASSING = {"name": "passing", "answer_within": "2s", "refuse_at_most": 0.01, "idempotent": True}
RECORDED = ("process_started", "process_stopping", "process_stopped", "input_dropped", "turn_slow",
            "entry_overloaded", "entry_recovered", "configuration_adopted")
KINDS = [("pivot-check", TEAM)] * 6 + [("sale", TEAM)] * 3 + [("passing", TEAM)]


class PlannedWork:
    """Draws planned work from a seed and runs it, in series and overlapping."""

    def __init__(self, fleet, seed, start_entry=None, add_vm=None):
        self.fleet = fleet
        self.seed = seed
        self.draw = random.Random(f"planned work {seed}")
        self.launch = start_entry or fleet.start_entry
        self.add_vm = add_vm or self.add_next_vm
        self.vms = len(fleet.companions)
        self.lock = threading.Lock()
        self.busy = set()
        self.events = []
        self.faults = []
        self.callers = None
        # The shortest idle limit, so that connections reach it while requests cross.
        self.idle = self.draw.choice(("1s", "1s", "60s"))
        self.delay_ms = self.draw.choice((0, 200, 600))

    def limits(self):
        return f"{{stop_delay: {self.delay_ms}ms, idle: {self.idle}}}"

    def add_next_vm(self):
        self.vms += 1
        self.fleet.add_endpoint_vm(self.vms)

    def start_callers(self, count):
        addresses = [entry.callers for entry in self.fleet.entries]
        draw = random.Random(f"raw callers {self.seed}")
        self.callers = RawCallers(addresses, draw, count, KINDS)
        self.callers.start()

    def note(self, text):
        self.events.append((time.monotonic(), text))

    def send(self, process, number):
        self.note(f"{signal.Signals(number).name} to {process.name}")
        process.popen.send_signal(number)

    # One piece of work each.

    def stop_entry(self, draw):
        """Stops an entry, signals and pauses it until it is gone, and starts it again."""
        old = self.reserve(draw, self.fleet.entries)
        if old is None:
            return
        self.stop_paused(old, draw)
        expect(old.popen.returncode == 0,
               f"{old.name} stopped with {old.popen.returncode}: {old.read_log()}")
        if draw.random() < 0.4:
            self.stop_after_start(old, draw)
        time.sleep(draw.uniform(0, 0.3))
        new = self.start_again(old)
        self.fleet.wait_until_healthy(new)
        self.busy.discard(old.name)

    def start_again(self, old):
        with self.lock:
            new = self.launch(old.name, callers=old.callers, limits=self.limits())
            self.note(f"{old.name} starts as process {new.popen.pid}")
            place = [entry.name for entry in self.fleet.entries].index(old.name)
            self.fleet.entries[place] = new
        return new

    def stop_after_start(self, old, draw):
        new = self.start_again(old)
        time.sleep(draw.choice((draw.uniform(0, 0.05), draw.uniform(0.05, 0.4))))
        self.stop_paused(new, draw)
        # A process that doesn't handle signals yet has taken no request either.
        new.killed = new.popen.returncode < 0

    def stop_paused(self, entry, draw):
        if draw.random() < 0.3:
            self.pause(entry, draw)
        begin = time.monotonic()
        self.send(entry, signal.SIGTERM)
        again = draw.random() < 0.4
        # Around the end of the intake in most cases, where it has one.
        if self.delay_ms and draw.random() < 0.8:
            time.sleep(max(0, begin + self.delay_ms / 1000 - draw.uniform(0, 0.3) -
                           time.monotonic()))
            self.pause(entry, draw)
        while entry.is_running():
            expect(time.monotonic() < begin + ANSWER_LIMIT_S * 2, f"{entry.name} doesn't stop")
            if again:
                self.send(entry, draw.choice((signal.SIGHUP, signal.SIGHUP, signal.SIGTERM)))
            self.callers.rush(entry.callers, RUSH, RUSH_S)
            if draw.random() < 0.1:
                self.pause(entry, draw)
            time.sleep(draw.uniform(0.005, 0.1))
        self.note(f"{entry.name} is gone, process {entry.popen.pid}")

    def pause(self, entry, draw):
        """Stops the process for a moment in which many callers send."""
        pause_s = draw.uniform(*PAUSE_S)
        self.note(f"pause of {entry.name} for {pause_s * 1000:.0f} ms")
        entry.freeze()
        self.callers.burst(entry.callers, pause_s)
        self.callers.rush(entry.callers, RUSH, pause_s)
        time.sleep(pause_s)
        entry.thaw()

    def pause_entry(self, draw):
        """A pause without a stop, as long as connections rest until their limit."""
        entry = self.reserve(draw, self.fleet.entries)
        if entry is None:
            return
        for _ in range(3):
            self.pause(entry, draw)
            time.sleep(draw.uniform(0, 0.8))
        self.busy.discard(entry.name)

    def stop_companion(self, draw):
        """Replaces an endpoint and its companion."""
        companion = self.reserve(draw, self.fleet.companions)
        if companion is None:
            return
        with self.lock:
            self.add_vm()
            place = self.fleet.companions.index(companion)
            endpoint = self.fleet.endpoints.pop(place)
            self.fleet.companions.pop(place)
            new = self.fleet.companions[-1]
        self.fleet.wait_until_healthy(new)
        for process in draw.sample([endpoint, companion], 2):
            self.send(process, signal.SIGTERM)
            if draw.random() < 0.3:
                self.send(companion, signal.SIGHUP)
            wait_until(lambda each=process: not each.is_running(), f"{process.name} stops")

    def hang_up(self, draw):
        for _ in range(draw.randint(2, 8)):
            process = draw.choice(self.fleet.entries + self.fleet.companions)
            if process.is_running():
                self.send(process, signal.SIGHUP)
            time.sleep(draw.choice((0, draw.uniform(0, 0.1))))

    def rewrite_settings(self, draw):
        process = draw.choice(self.fleet.entries + self.fleet.companions)
        with open(process.settings, encoding="utf-8") as file:
            text = file.read()
        self.note(f"settings of {process.name} are written")
        with open(process.settings, "w", encoding="utf-8") as file:
            file.write(text[:len(text) // 2])
            file.flush()
            time.sleep(draw.uniform(0, 0.2))
            file.write(text[len(text) // 2:] + f"# {draw.random()}\n")
        time.sleep(draw.uniform(0, 0.5))
        if process.is_running():
            self.send(process, signal.SIGHUP)

    def change_configuration(self, draw):
        """Changes classes one after the other; one comes and goes."""
        for _ in range(draw.randint(2, 10)):
            entry = draw.choice(self.fleet.entries)
            item = dict(draw.choice(CLASSES + [PASSING, PASSING]))
            item["answer_within"] = draw.choice(("2s", "3s"))
            item["refuse_at_most"] = draw.choice((0.01, 0.02))
            method = "PUT"
            if item["name"] == "passing" and draw.random() < 0.5:
                method = "DELETE"
            path = f"/v1/classes/{item['name']}"
            # An entry that is away or changes at the same time refuses.
            status, _ = request(method, entry.operators, path, item if method == "PUT" else None)
            self.note(f"{method} {path} at {entry.name}: {status}")
            time.sleep(draw.choice((0, draw.uniform(0, 0.1))))

    def reserve(self, draw, group):
        """Chooses a process that no other work stops at the same time."""
        with self.lock:
            free = [process for process in group if process.name not in self.busy]
            if not free:
                return None
            process = draw.choice(free)
            self.busy.add(process.name)
            return process

    # Steps.

    def step(self, most=MOST_AT_ONCE):
        works = [self.stop_entry] * 3 + [self.stop_companion, self.hang_up, self.pause_entry,
                                         self.rewrite_settings, self.change_configuration]
        chosen = [self.draw.choice(works) for _ in range(self.draw.randint(1, most))]
        print("planned:", [work.__name__ for work in chosen], flush=True)
        threads = [threading.Thread(target=self.run, args=(work, self.draw.random(),
                                                           self.draw.uniform(0, 0.5)))
                   for work in chosen]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        if self.faults:
            self.finish()
            raise self.faults[0]

    def run(self, work, seed, pause):
        time.sleep(pause)
        try:
            work(random.Random(seed))
        except Exception as fault:  # pylint: disable=broad-except
            self.faults.append(fault if isinstance(fault, Failure) else Failure(repr(fault)))

    def finish(self):
        """Ends the callers; no whole request may be broken off."""
        tally = self.callers.stop(ANSWER_LIMIT_S)
        print("raw callers:", tally, dict(self.callers.statuses), flush=True)
        for cut in self.callers.cuts[:MOST_EXPLAINED]:
            self.explain(cut)
        ends = sum(tally.get(key, 0) for key in ("answered", "refused", "not_taken",
                                                 "broken_off"))
        expect(ends == self.callers.whole, f"{self.callers.whole} requests: {tally}")
        expect(not self.callers.cuts, f"{len(self.callers.cuts)} whole requests are broken off")
        expect(tally.get("answered", 0) > 0, f"no answers: {tally}")

    def explain(self, cut):
        """Prints a cut, and what was done to its entry and recorded by it around the cut."""
        names = {entry.callers: entry.name for entry in self.fleet.entries}
        name = names.get(cut["entry"], cut["entry"])
        details = {key: cut[key] for key in cut if key not in ("entry", "sent", "cut")}
        lasted = (cut["cut"] - cut["sent"]) * 1000
        print(f"broken off at {name} {lasted:.0f} ms after it was sent: {details}")
        done = [(at, text) for at, text in self.events if name in text]
        for at, text in sorted(done + self.recorded(name)):
            if cut["sent"] - 1.5 < at < cut["cut"] + 0.2:
                print(f"    {(at - cut['sent']) * 1000:6.0f} ms: {text}")

    def recorded(self, name):
        """Returns what the processes of this name say of their own state."""
        offset = time.time() - time.monotonic()
        found = []
        for path in glob.glob(os.path.join(self.fleet.folder, f"*-{name}.jsonl")):
            with open(path, encoding="utf-8") as lines:
                events = [json.loads(line) for line in lines if line.endswith("}\n")]
            found += [(event["time"] / 1e6 - offset, f"recorded: {event['kind']}")
                      for event in events if event["kind"] in RECORDED]
        return found
