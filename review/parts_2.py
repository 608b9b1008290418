"""Stand-ins of the second review: the platform's store, runners, clients and a small fleet.

They follow PROTOCOL.md of the users' pages. Everything listens on loopback addresses and free
ports. The daemons are started with the commands and templates of deploy/system.toml.
"""

import asyncio
import base64
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
HOST_NAME = "nony24.example"
PREFIX = "/lohu930/"
SERVICE = "huvo11a"
ROUTE = {"name": "route-a", "host": HOST_NAME, "prefix": PREFIX, "service": SERVICE,
         "kind": "non_idempotent", "timeout_ms": 5000, "target_latency_ms": 60,
         "slack_factor": 1.6, "max_attempts": 3, "priority": 0}
# Bounds of the small sites.
DEADLINE_MS = 1500
RETRANSMIT_MS = 1300
HEARTBEAT_MS = 1500
RETRY_S = 1.0  # After a heartbeat without an acknowledgement.
MAX_HOLD_MS = 1000
GRACE_S = 6
CONTACT_MS = 3000
TXN_MS = 5
ANSWER_MS = 4
CORES = 32000
MEMORY_MB = 131072


class Record:
    """Lines of record.txt: seconds since the start, what happened, and details."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.begin = time.monotonic()

    def add(self, what, **details):
        words = [f"{key}={value}" for key, value in details.items() if value is not None]
        self.file.write(f"{time.monotonic() - self.begin:8.3f}  {what} {' '.join(words)}\n")
        self.file.flush()


# HTTP.


async def read_message(reader):
    """Returns (first line, headers, body) of a request or a response, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, colon, value = line.partition(":")
            if colon:
                headers[name.strip().lower()] = value.strip()
        return lines[0], headers, await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


class HttpServer:
    """Calls answer(method, target, headers, body), which returns (status, value) or None: no
    answer, and the connection is closed."""

    def __init__(self, answer):
        self.answer = answer
        self.server = None
        self.writers = set()

    async def listen(self, address):
        host, port = address.split(":")
        self.server = await asyncio.start_server(self.serve, host, int(port))

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while message := await read_message(reader):
                method, target, _ = message[0].split(" ", 2)
                reply = await self.answer(method, target, message[1], message[2])
                if reply is None:
                    break
                body = json.dumps(reply[1]).encode()
                writer.write(f"HTTP/1.1 {reply[0]} -\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def close(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


async def call(address, method, target, value=None, headers=None, limit_s=1.0):
    """One call over a connection of its own. Returns (status, value), or None without an answer."""
    host, port = address.split(":")
    body = b"" if value is None else value if isinstance(value, bytes) else json.dumps(value).encode()
    lines = [f"{method} {target} HTTP/1.1", f"Host: {address}", f"Content-Length: {len(body)}",
             "Content-Type: application/json"]
    lines += [f"{name}: {text}" for name, text in (headers or {}).items()]

    async def exchange():
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            message = await read_message(reader)
        finally:
            writer.close()
        if message is None:
            return None
        try:
            return int(message[0].split(" ")[1]), json.loads(message[2] or b"null")
        except ValueError:
            return int(message[0].split(" ")[1]), None

    try:
        return await asyncio.wait_for(exchange(), limit_s)
    except (OSError, asyncio.TimeoutError):
        return None


# The platform's store.


class Store:
    """Rows of tables with one version counter."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.server = HttpServer(self.answer)

    async def answer(self, method, target, _headers, body):
        path, _, query = target.partition("?")
        if (method, path) == ("GET", "/rows-get"):
            await asyncio.sleep(ANSWER_MS / 1000)
            words = dict(word.split("=", 1) for word in query.split("&") if word)
            return 200, self.get(words)
        if (method, path) == ("POST", "/rows-tx"):
            await asyncio.sleep(TXN_MS / 1000)
            return self.transact(json.loads(body))
        return 404, {"error": "not here"}

    def get(self, words):
        table, part = words["table"], words.get("part", "")
        keys = sorted(key for t, p, key in self.rows
                      if (t, p) == (table, part) and words.get("source", "") <= key
                      and (not words.get("to") or key < words["to"]))
        limit = min(int(words.get("limit", 500)), 500)
        return {"rows": [self.describe((table, part, key)) for key in keys[:limit]],
                "has_more": len(keys) > limit, "schema_version": self.version,
                "now_ms": int(time.monotonic() * 1000)}

    def describe(self, name):
        value, version = self.rows[name]
        return {"table": name[0], "part": name[1], "key": name[2], "value": value,
                "schema_version": version}

    def transact(self, value):
        def name_of(row):
            return row["table"], row.get("part", ""), row["key"]
        current = []
        for row in value.get("expected_rev", []):
            if self.rows.get(name_of(row), (None, 0))[1] != row["schema_version"]:
                current.append(name_of(row))
        if current:
            return 412, {"rows": [self.describe(n) for n in current if n in self.rows]}
        self.version += 1
        for row in value.get("write", []):
            self.rows[name_of(row)] = (row["value"], self.version)
        for row in value.get("delete", []):
            self.rows.pop(name_of(row), None)
        return 200, {"schema_version": self.version, "now_ms": int(time.monotonic() * 1000)}

    def configure(self, version, routes):
        services = {name: {"name": name, "enforce_capacity": False}
                    for name in sorted({route["service"] for route in routes})}
        document = {"version": version, "routes": routes, "services": list(services.values()),
                    "limits": {}}
        text = base64.b64encode(json.dumps(document).encode()).decode()
        self.version += 1
        self.rows[("op", "", "config")] = (text, self.version)


# Runners.


class Run:
    def __init__(self, task, attempt, due, needs):
        self.task, self.attempt, self.due, self.needs = task, attempt, due, needs


class Runner:
    """A runner with leases. A task's spec says how long it works and what it takes:
    "MS CPU MEM_MB"."""

    def __init__(self, fleet, name, address, control_plane, service=SERVICE, cpu=CORES,
                 mem_mb=MEMORY_MB):
        self.fleet, self.address, self.control_plane = fleet, address, control_plane
        self.id, self.service, self.cpu, self.mem_mb = name, service, cpu, mem_mb
        self.state = "ready"
        self.up = False
        self.server = None
        self.tasks = []

    def clock_ms(self):
        return int((time.monotonic() - self.began) * 1000)

    async def start(self):
        """Begins a life."""
        self.began = time.monotonic()
        self.born = int(time.time() * 1000)
        self.runs, self.barred, self.ends = {}, {}, []
        self.ended, self.fence, self.lease_ms, self.sequence = 0, 0, 0, 0
        self.up, self.state = True, "ready"
        self.server = HttpServer(self.answer)
        await self.server.listen(self.address)
        self.tasks = [asyncio.create_task(self.watch()),
                      asyncio.create_task(self.send_heartbeats())]

    def crash(self):
        self.up = False
        for task in self.tasks:
            task.cancel()
        for run in list(self.runs.values()):
            self.fleet.record.add("ends", task=run.task, attempt=run.attempt, runner=self.id,
                                  how="crash")
        self.runs = {}
        self.server.close()

    async def watch(self):
        while True:
            self.expire()
            await asyncio.sleep(0.004)

    def expire(self):
        now = time.monotonic()
        lapse = self.began + self.lease_ms / 1000
        for run in list(self.runs.values()):
            if run.due <= min(now, lapse):
                self.finish(run, "done")
            elif lapse <= now:
                self.finish(run, "lapsed")

    def finish(self, run, how):
        del self.runs[(run.task, run.attempt)]
        self.barred[run.task] = max(self.barred.get(run.task, 0), run.attempt)
        self.ended += 1
        self.ends.append([self.ended, run.task, run.attempt, how, ""])
        self.fleet.record.add("ends", task=run.task, attempt=run.attempt, runner=self.id, how=how)

    async def answer(self, method, target, headers, body):
        try:
            value = json.loads(body or b"null")
        except ValueError:
            return 400, {"clock_ms": self.clock_ms(), "born": self.born}
        self.expire()
        if headers.get("expect-instance", self.id) != self.id:
            return 421, {"clock_ms": self.clock_ms(), "born": self.born}
        reply = await self.carry_out(target, value)
        if reply is None:
            return None
        reply[1].update(clock_ms=self.clock_ms(), born=self.born)
        return reply

    async def carry_out(self, target, value):
        if value.get("fencing_token", 0) < self.fence:
            return 409, {"reason": "fence"}
        self.fence = max(self.fence, value.get("fencing_token", 0))
        if target == "/run-start":
            return self.run_start(value)
        if target == "/run-stop":
            return self.run_stop(value)
        if target == "/hold":
            return await self.hold(value)
        return 404, {}

    def take_deadline(self, value):
        if "deadline_ms" in value:
            self.lease_ms = max(self.lease_ms,
                                min(value["deadline_ms"], self.clock_ms() + MAX_HOLD_MS))

    def run_start(self, value):
        task, attempt = value["task"], value["attempt"]
        if value["deadline_ms"] <= self.clock_ms():
            return 409, {"reason": "late"}
        self.take_deadline(value)
        if (task, attempt) in self.runs:
            return 200, {}
        if attempt <= self.barred.get(task, 0):
            return 409, {"reason": "old"}
        words = value["spec"].split(" ")
        needs = (int(words[1]), int(words[2]))
        run = Run(task, attempt, time.monotonic() + int(words[0]) / 1000, needs)
        self.runs[(task, attempt)] = run
        self.fleet.record.add("starts", task=task, attempt=attempt, runner=self.id)
        self.fleet.judge_start(self, run)
        return 200, {}

    def run_stop(self, value):
        task, attempt = value["task"], value["attempt"]
        self.barred[task] = max(self.barred.get(task, 0), attempt)
        run = self.runs.get((task, attempt))
        if run:
            self.finish(run, "stopped")
        return 200, {}

    async def hold(self, value):
        self.take_deadline(value)
        self.ends = [end for end in self.ends if end[0] > value.get("ack_index", 0)]
        until = time.monotonic() + min(value.get("wait_ms", 0), 2000) / 1000
        while not self.ends and time.monotonic() < until:
            await asyncio.sleep(0.003)
            self.expire()
        return 200, {"active": [[run.task, run.attempt, "", 50] for run in self.runs.values()],
                     "ended_runs": self.ends[:500]}

    def describe(self):
        self.sequence += 1
        value = {"service": self.service, "addr": self.address, "zone": "zone-a", "version": "v1",
                 "slots": 8, "state": self.state, "cold_left_ms": 0,
                 "capacity": {"cpu": self.cpu, "mem_mb": self.mem_mb, "gpu": 0},
                 "labels": ["a", "r1-1"], "clock_ms": self.clock_ms(), "call_seq": self.sequence,
                 "born": self.born}
        return value

    async def heartbeat(self):
        return await call(self.control_plane, "POST", f"/instances/{self.id}/heartbeat",
                          self.describe())

    async def send_heartbeats(self):
        while True:
            reply = await self.heartbeat()
            acknowledged = reply is not None and 200 <= reply[0] < 300
            await asyncio.sleep(HEARTBEAT_MS / 1000 if acknowledged else RETRY_S)


# Daemons.


def render(text, scopes):
    """Fills in a template of the deploy file."""
    def look_up(name):
        if name == ".":
            return scopes[0]
        for scope in scopes:
            value = scope
            for part in name.split("."):
                if isinstance(value, list) and part.isdigit():
                    value = value[int(part)] if int(part) < len(value) else None
                else:
                    value = value.get(part) if isinstance(value, dict) else None
            if value is not None:
                return value
        return None

    section = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.S)

    def repeat(match):
        value = look_up(match.group(1))
        if value is None or value is False or value == []:
            return ""
        if not isinstance(value, list):
            return render(match.group(2), [value] + scopes)
        return "".join(
            render(match.group(2).replace("{{,}}", "," if i + 1 < len(value) else ""),
                   [each] + scopes) for i, each in enumerate(value))

    text = section.sub(repeat, text)

    def show(match):
        value = look_up(match.group(1))
        return "" if value is None else str(value)

    return re.sub(r"\{\{([\w.]+)\}\}", show, text)


def free_port(host):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class Daemon:
    """One process of the system."""

    def __init__(self, fleet, role, fields):
        self.fleet, self.fields, self.name = fleet, fields, fields["node_name"]
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            described = tomllib.load(file)["roles"][role]
        with open(os.path.join(ROOT, described["template"]), encoding="utf-8") as file:
            self.template = file.read()
        self.settings = os.path.join(fleet.folder, self.name + ".yaml")
        command = described["run"].replace("/etc/crocuswood/node.yaml", self.settings).split(" ")
        self.command = [os.path.join(ROOT, command[0])] + command[1:]
        self.log = open(os.path.join(fleet.folder, self.name + ".log"), "ab")
        self.process = None

    def start(self):
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(render(self.template, [self.fields]))
        self.process = subprocess.Popen(self.command, stdout=self.log, stderr=self.log, cwd=ROOT,
                                        env={"PATH": os.environ["PATH"], "LANG": "C",
                                             "CROCUSWOOD_SETTINGS": self.settings})
        self.fleet.record.add("process starts", name=self.name)

    def send(self, number):
        self.fleet.record.add("signal", name=self.name, signal=signal.Signals(number).name)
        self.process.send_signal(number)

    def is_running(self):
        return self.process.poll() is None

    @property
    def frontend(self):
        return self.fields["listen"]["frontend"]

    @property
    def readiness(self):
        return self.fields["listen"]["readiness"]


class Fleet:
    """Entries, companions with a runner each, and the store."""

    def __init__(self, folder, network=77):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="crocuswood-review-")
        self.network = network
        self.store = Store()
        self.store_address = None
        self.entries, self.companions, self.runners = [], [], []
        self.broken = []
        self.seeds = []
        self.starts = 0

    def fault(self, rule, text):
        self.broken.append(rule)
        self.record.add(f"BROKEN {rule}: {text}")

    def judge_start(self, runner, run):
        self.starts += 1
        for other in self.runners:
            for each in other.runs.values():
                if other.up and each.task == run.task and each is not run:
                    self.fault("TWICE", f"{run.task} starts on {runner.id} while it runs on "
                                        f"{other.id}")
        for place, room in ((0, runner.cpu), (1, runner.mem_mb)):
            used = sum(each.needs[place] for each in runner.runs.values())
            if used > room:
                self.fault("LIMIT", f"{runner.id} is given {used} of {room}")

    def make_fields(self, name, machine_class, host, ports):
        listen = {key: f"{host}:{free_port(host)}" for key in ports}
        low = free_port(host)
        return {"node_name": name, "machine_class": machine_class, "ip": host, "zone": "zone-a",
                "region": "region-a", "listen": listen, "port_range": [low, free_port(host)],
                "seeds": self.seeds, "bootstrap": True, "heartbeat_ms": HEARTBEAT_MS,
                "bounds": {"grace_s": GRACE_S}, "platform": {"addr": self.store_address}}

    async def start(self, entries, companions, routes=None, **runner_options):
        self.store_address = f"127.{self.network}.0.1:{free_port(f'127.{self.network}.0.1')}"
        await self.store.server.listen(self.store_address)
        self.store.configure(7, routes or [ROUTE])
        for number in range(1, entries + 1):
            fields = self.make_fields(f"edge-{number}", "edge", f"127.{self.network}.1.{number}",
                                      ("frontend", "readiness", "control_plane"))
            self.entries.append(Daemon(self, "entry", fields))
        self.seeds += [each.fields["listen"]["control_plane"] for each in self.entries][:3]
        for number in range(1, companions + 1):
            host = f"127.{self.network}.2.{number}"
            fields = self.make_fields(f"side-{number}", "side", host, ("control_plane",))
            fields["app"] = f"{host}:{free_port(host)}"
            self.companions.append(Daemon(self, "companion", fields))
            self.runners.append(Runner(self, f"i-{number:08x}", fields["app"],
                                       fields["listen"]["control_plane"], **runner_options))
        for daemon in self.entries + self.companions:
            daemon.start()
        for runner in self.runners:
            await runner.start()
        for entry in self.entries:
            await self.wait_until_ready(entry)
        await asyncio.sleep(1.5)  # All companions are linked.

    async def wait_until_ready(self, entry, limit_s=15):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            reply = await call(entry.readiness, "GET", "/health")
            if reply and reply[0] == 200:
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{entry.name} isn't ready")

    def stop(self):
        for daemon in self.entries + self.companions:
            if daemon.process and daemon.is_running():
                daemon.process.kill()
        for daemon in self.entries + self.companions:
            if daemon.process:
                daemon.process.wait()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


# Clients.


def make_job(tasks, work_ms, cpu=1000, mem_mb=64):
    return {"spec": f"{work_ms} {cpu} {mem_mb}", "best_effort": True,
            "phases": [{"count": tasks, "cpu": cpu, "mem_mb": mem_mb, "est_runtime_ms": work_ms}]}


async def send_job(fleet, entry, job, body, deadline_ms=DEADLINE_MS):
    """One attempt at one entry, over a connection of its own. Returns the status, or None."""
    fleet.record.add("sent", job=job, to=entry.name)
    reply = await call(entry.frontend, "POST", PREFIX + job, body,
                       {"Host": HOST_NAME, "Deadline-Ms": str(deadline_ms)}, deadline_ms / 1000)
    fleet.record.add("answered" if reply else "no answer", job=job, by=entry.name,
                     status=reply and reply[0],
                     state=reply and isinstance(reply[1], dict) and reply[1].get("state") or None)
    return reply and reply[0]


async def run_job(fleet, entries, job, body, deadline_ms=DEADLINE_MS, sends=3):
    """A job as a client hands it in: after no answer, 502 or 504 it is sent again, to the next
    entry of the list."""
    for attempt in range(sends):
        entry = entries[min(attempt, len(entries) - 1)]
        status = await send_job(fleet, entry, job, body, deadline_ms)
        if status not in (None, 502, 504):
            return status
        await asyncio.sleep(RETRANSMIT_MS / 1000)
    return None


def main(case, folder):
    """Runs a case, and exits as the review asks: 1 broken, 0 kept, 2 not run."""
    import sys
    import traceback
    fleet = Fleet(folder)

    async def play():
        try:
            await asyncio.wait_for(case(fleet, os.environ.get("TROUBLE", "1") != "0"), 110)
        finally:
            fleet.stop()

    try:
        asyncio.run(play())
    except Exception:  # pylint: disable=broad-except
        traceback.print_exc()
        fleet.record.add("the case could not run")
        sys.exit(2)
    fleet.record.add("broken: " + (", ".join(sorted(set(fleet.broken))) or "nothing"),
                     starts=fleet.starts)
    print("broken:", len(fleet.broken), "starts:", fleet.starts)
    sys.exit(1 if fleet.broken else 0)
