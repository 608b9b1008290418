"""Stand-ins that follow the users' pages: the platform's store, runners and clients.

Everything runs in one asyncio loop, so that one list holds every event in order. The system under
test runs as separate processes, started with the commands and the templates of deploy/.
"""

import asyncio
import base64
import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), ".."))
DEPLOYED_SETTINGS = "/etc/crocuswood/node.yaml"

# Bounds of the sites, from the pages.
MAX_HOLD_MS = 1000
KILL_GRACE_MS = 50
ACK_MS = 4000
CANCEL_MS = 3000
CONTACT_MS = 3000
RETRANSMIT_MS = 1300
HEARTBEAT_MS = 1500
GRACE_S = 6

SERVICE = "huvo11a"
HOST_NAME = "nony24.example"
PREFIX = "/lohu930/"


class CannotRun(Exception):
    """The case could not be brought about, so it says nothing."""


class Record:
    """Writes every event with its time into record.txt."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.begin = time.monotonic()

    def now(self):
        return time.monotonic() - self.begin

    def add(self, what, **details):
        text = " ".join(f"{key}={value}" for key, value in details.items())
        self.file.write(f"{self.now():9.3f} {what} {text}\n")
        self.file.flush()


# HTTP.


async def read_message(reader):
    """Returns the first line, the headers and the body, or None at the end of the input."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    length = int(headers.get("content-length", "0"))
    if length:
        try:
            body = await reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
    return lines[0], headers, body


def make_response(status, value):
    body = b"" if value is None else json.dumps(value).encode()
    return (f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n\r\n").encode() + body


class Server:
    """An HTTP/1.1 server with keep-alive; answer() is given by the subclass."""

    def __init__(self):
        self.server = None
        self.writers = set()

    async def listen(self, host, port):
        self.server = await asyncio.start_server(self.serve, host, port)

    async def answer(self, method, target, headers, value):
        raise NotImplementedError

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                method, target, _ = message[0].split(" ", 2)
                try:
                    value = json.loads(message[2]) if message[2] else None
                except ValueError:
                    value = None
                reply = await self.answer(method, target, message[1], value)
                if reply is None:
                    break
                writer.write(make_response(*reply))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def close(self):
        """Ends the server and resets its connections, as the end of its process does."""
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


async def call(address, method, target, value=None, headers=None, limit=5.0, raw=None):
    """One call on a connection of its own. Returns (status, value), or (None, reason)."""
    host, port = address
    body = raw if raw is not None else (b"" if value is None else json.dumps(value).encode())
    lines = [f"{method} {target} HTTP/1.1"]
    fields = {"Host": f"{host}:{port}", "Content-Type": "application/json",
              "Content-Length": str(len(body))}
    fields.update(headers or {})
    lines += [f"{name}: {text}" for name, text in fields.items()]
    message = ("\r\n".join(lines) + "\r\n\r\n").encode() + body

    async def run():
        reader, writer = await asyncio.open_connection(host, port)
        try:
            writer.write(message)
            await writer.drain()
            reply = await read_message(reader)
        finally:
            writer.close()
        if reply is None:
            return None, "connection broken"
        status = int(reply[0].split(" ")[1])
        try:
            return status, json.loads(reply[2]) if reply[2] else None
        except ValueError:
            return status, None

    try:
        return await asyncio.wait_for(run(), limit)
    except asyncio.TimeoutError:
        return None, "no response"
    except OSError as error:
        return None, str(error)


# Platform.


class Store(Server):
    """The platform's store in the form of tables."""

    def __init__(self):
        super().__init__()
        self.rows = {}
        self.version = 0

    def put(self, table, key, value):
        self.version += 1
        self.rows[(table, "", key)] = (base64.b64encode(value).decode(), self.version)

    def describe(self, name):
        value, version = self.rows[name]
        return {"table": name[0], "part": name[1], "key": name[2], "value": value,
                "schema_version": version}

    async def answer(self, method, target, headers, value):
        await asyncio.sleep(0.004)
        path, _, query = target.partition("?")
        fields = {}
        for pair in query.split("&"):
            name, _, text = pair.partition("=")
            fields[name] = re.sub("%([0-9A-Fa-f]{2})",
                                  lambda match: chr(int(match.group(1), 16)), text)
        common = {"schema_version": self.version, "now_ms": int(time.monotonic() * 1000)}
        if path == "/rows-get":
            names = sorted(name for name in self.rows
                           if name[0] == fields.get("table", "") and
                           name[1] == fields.get("part", "") and
                           name[2] >= fields.get("source", "") and
                           ("to" not in fields or name[2] < fields["to"]))
            limit = min(int(fields.get("limit", "500")), 500)
            return 200, {"rows": [self.describe(name) for name in names[:limit]],
                         "has_more": len(names) > limit, **common}
        if path == "/rows-tx" and method == "POST":
            return self.transact(value, common)
        return 404, {"error": "unknown"}

    def transact(self, value, common):
        wrong = []
        for row in value.get("expected_rev", []):
            name = (row["table"], row.get("part", ""), row["key"])
            current = self.rows[name][1] if name in self.rows else 0
            if current != row["schema_version"]:
                wrong.append(name)
        if wrong:
            return 412, {"rows": [self.describe(name) for name in wrong if name in self.rows],
                         **common}
        self.version += 1
        for row in value.get("write", []):
            self.rows[(row["table"], row.get("part", ""), row["key"])] = (
                row["value"], self.version)
        for row in value.get("delete", []):
            self.rows.pop((row["table"], row.get("part", ""), row["key"]), None)
        return 200, {**common, "schema_version": self.version}


def make_configuration(version, priority=0, target_ms=60, slack=1.6):
    return {"version": version,
            "routes": [{"name": "r-3hwrr6x", "host": HOST_NAME, "prefix": PREFIX,
                        "kind": "non_idempotent", "timeout_ms": 60000,
                        "target_latency_ms": target_ms, "priority": priority,
                        "service": SERVICE, "max_attempts": 3, "slack_factor": slack}],
            "services": [{"name": SERVICE, "health_path": "/healthz", "max_conns": 64,
                          "protocol": "h1", "tls": False, "enforce_capacity": False,
                          "standby": False}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


# Runners.


class Run:
    """One run of a task on a runner."""

    def __init__(self, task, attempt, work_s, cpu, now):
        self.task = task
        self.attempt = attempt
        self.cpu = cpu
        self.began = now
        self.due = now + work_s


class Judge:
    """Knows of every run that goes on, on all runners, and notes broken rules."""

    def __init__(self, record):
        self.record = record
        self.active = {}  # Task to the list of (runner, run).
        self.faults = []
        self.starts = []  # (time, task, runner)

    def fault(self, rule, text):
        self.faults.append((rule, text))
        self.record.add("RULE", rule=rule, text=f"'{text}'")

    def begin(self, runner, run):
        for each in runner.fleet_runners:
            each.expire()
        others = self.active.setdefault(run.task, [])
        if others:
            where = ", ".join(f"{other.id} (attempt {earlier.attempt})"
                              for other, earlier in others)
            self.fault("TWICE", f"{run.task} starts on {runner.id} (attempt {run.attempt}) "
                                f"while it runs on {where}")
        others.append((runner, run))
        self.starts.append((self.record.now(), run.task, runner.id))
        self.record.add("start", runner=runner.id, task=run.task, attempt=run.attempt)

    def end(self, runner, run, how):
        self.active[run.task] = [each for each in self.active.get(run.task, [])
                                 if each[1] is not run]
        self.record.add("end", runner=runner.id, task=run.task, attempt=run.attempt, how=how)


class Runner(Server):
    """A sound runner: it does what PROTOCOL.md says under "Running tasks"."""

    def __init__(self, number, record, judge, runners, companion, cpu=6400):
        super().__init__()
        self.number = number
        self.record = record
        self.judge = judge
        self.fleet_runners = runners
        self.companion = companion  # (host, port) of its control_plane address.
        self.cpu = cpu
        self.id = f"i-{number:08x}"
        self.address = None
        self.heartbeats = None
        self.watcher = None
        self.begin_life()
        runners.append(self)

    def begin_life(self):
        """Begins as after a start: with no runs, no fencing token and a new clock."""
        self.born = int(time.time() * 1000)
        self.clock_start = time.monotonic()
        self.sequence = 0
        self.fence = 0
        self.lease_ms = 0
        self.runs = {}
        self.ends = []
        self.end_count = 0
        self.barred = {}
        self.changed = asyncio.Event()

    def clock_ms(self):
        return int((time.monotonic() - self.clock_start) * 1000)

    async def start(self, host, port):
        self.address = (host, port)
        await self.listen(host, port)
        self.heartbeats = asyncio.create_task(self.send_heartbeats())
        self.watcher = asyncio.create_task(self.watch())

    async def crash(self, down_s):
        """Ends everything at once, and starts again under the same id after some time."""
        self.record.add("crash", runner=self.id, runs=len(self.runs))
        self.heartbeats.cancel()
        self.close()
        self.expire()
        for run in list(self.runs.values()):
            self.finish(run, "crashed")
        self.begin_life()
        await asyncio.sleep(down_s)
        self.begin_life()
        await self.listen(*self.address)
        self.record.add("back", runner=self.id, born=self.born)
        self.heartbeats = asyncio.create_task(self.send_heartbeats())

    def describe(self):
        self.sequence += 1
        return {"service": SERVICE, "addr": f"{self.address[0]}:{self.address[1]}",
                "zone": "east-van", "version": "v1", "slots": 8, "state": "ready",
                "cold_left_ms": 0,
                "capacity": {"cpu": self.cpu, "mem_mb": 32768, "gpu": 0},
                "labels": ["a", "r1-3"], "clock_ms": self.clock_ms(),
                "call_seq": self.sequence, "born": self.born}

    async def send_heartbeats(self):
        while True:
            status, _ = await call(self.companion, "POST", f"/instances/{self.id}/heartbeat",
                                   self.describe(), limit=1.0)
            self.record.add("heartbeat", runner=self.id, answer=status)
            await asyncio.sleep(HEARTBEAT_MS / 1000 if status == 200 else 0.2)

    async def watch(self):
        while True:
            self.expire()
            await asyncio.sleep(0.002)

    def expire(self):
        """Ends what is due or has lost its lease by now."""
        now = time.monotonic()
        lapse = self.clock_start + self.lease_ms / 1000
        for run in list(self.runs.values()):
            if run.due <= min(now, lapse):
                self.finish(run, "done")
            elif lapse <= now:
                self.finish(run, "lapsed")

    def finish(self, run, how):
        del self.runs[(run.task, run.attempt)]
        self.barred[run.task] = max(self.barred.get(run.task, 0), run.attempt)
        self.end_count += 1
        self.ends.append([self.end_count, run.task, run.attempt, how, ""])
        self.judge.end(self, run, how)
        self.changed.set()

    def extend(self, value):
        until = value.get("deadline_ms")
        if isinstance(until, int):
            until = min(until, self.clock_ms() + MAX_HOLD_MS)
            self.lease_ms = max(self.lease_ms, until)

    async def answer(self, method, target, headers, value):
        self.expire()
        if headers.get("expect-instance", self.id) != self.id:
            return 421, {"clock_ms": self.clock_ms()}
        if method != "POST" or not isinstance(value, dict):
            return 404, None
        token = value.get("fencing_token", 0)
        if token < self.fence:
            return 409, {"clock_ms": self.clock_ms(), "reason": "fence"}
        self.fence = token
        if target == "/run-start":
            return self.run_start(value)
        if target == "/run-stop":
            return self.run_stop(value)
        if target == "/hold":
            return await self.hold(value)
        return 404, None

    def run_start(self, value):
        task, attempt = value["task"], value["attempt"]
        if (task, attempt) in self.runs:
            self.extend(value)
            return 200, {"clock_ms": self.clock_ms()}
        if "deadline_ms" in value and value["deadline_ms"] <= self.clock_ms():
            return 409, {"clock_ms": self.clock_ms(), "reason": "late"}
        self.extend(value)
        if attempt <= self.barred.get(task, 0):
            return 409, {"clock_ms": self.clock_ms(), "reason": "old"}
        fields = json.loads(value["spec"])
        run = Run(task, attempt, fields["work_ms"] / 1000, fields["cpu"], time.monotonic())
        self.runs[(task, attempt)] = run
        self.judge.begin(self, run)
        used = sum(each.cpu for each in self.runs.values())
        if used > self.cpu:
            self.judge.fault("LIMIT", f"{task} starts on {self.id}: {used} of {self.cpu} "
                                      f"thousandths of a core are in use")
        return 200, {"clock_ms": self.clock_ms()}

    def run_stop(self, value):
        task, attempt = value["task"], value["attempt"]
        self.barred[task] = max(self.barred.get(task, 0), attempt)
        run = self.runs.get((task, attempt))
        if run:
            self.finish(run, "stopped")
        return 200, {"clock_ms": self.clock_ms()}

    async def hold(self, value):
        self.ends = [end for end in self.ends if end[0] > value.get("ack_index", 0)]
        self.extend(value)
        wait = min(value.get("wait_ms", 0), 2000) / 1000
        if wait > 0 and not self.ends:
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), wait)
            except asyncio.TimeoutError:
                pass
        self.expire()
        now = time.monotonic()
        active = [[run.task, run.attempt, "",
                   min(99, int(100 * (now - run.began) / max(run.due - run.began, 0.001))),
                   run.cpu] for run in self.runs.values()]
        return 200, {"clock_ms": self.clock_ms(), "born": self.born, "active": active,
                     "ended_runs": self.ends[:500]}


# Processes of the system.


def render(text, fields):
    """Fills in a template as DEPLOY.md says, as far as the project's templates need it."""

    def look_up(name, scope):
        if name == ".":
            return scope[-1]
        for level in reversed(scope):
            value = level
            for part in name.split("."):
                if isinstance(value, dict) and part in value:
                    value = value[part]
                elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                    value = value[int(part)]
                else:
                    value = None
                    break
            if value is not None:
                return value
        return None

    def fill(part, scope):
        def section(match):
            value = look_up(match.group(1), scope)
            if isinstance(value, list):
                parts = []
                for index, each in enumerate(value):
                    inner = match.group(2).replace(
                        "{{,}}", "," if index + 1 < len(value) else "")
                    parts.append(fill(inner, scope + [each]))
                return "".join(parts)
            return fill(match.group(2), scope) if value else ""

        part = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, part, flags=re.S)
        return re.sub(r"\{\{([\w.]+)\}\}", lambda match: str(look_up(match.group(1), scope)),
                      part)

    return fill(text, [fields])


def read_role(name):
    """Returns the command and the template of a role, from the deploy file."""
    with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
        role = tomllib.load(file)["roles"][name]
    with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
        return role["run"].split(" "), file.read()


HELD_PORTS = []


def free_port(host):
    """Returns a free port; a bound socket that does not listen keeps others from getting it."""
    holder = socket.socket()
    holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    holder.bind((host, 0))
    HELD_PORTS.append(holder)
    return holder.getsockname()[1]


class HoldingProxy:
    """Forwards connections. While it holds, what arrives waits, as behind a partition."""

    def __init__(self, target):
        self.target = target
        self.address = None
        self.open = asyncio.Event()
        self.open.set()
        self.waiting = 0
        self.turn = asyncio.Lock()

    async def start(self, host):
        server = await asyncio.start_server(self.serve, host, 0)
        self.address = server.sockets[0].getsockname()[:2]

    def hold(self):
        self.open.clear()

    def release(self):
        self.open.set()

    async def serve(self, reader, writer):
        message = await read_message(reader)
        if message is not None:
            self.waiting += 1
            # Messages are delivered in the order in which they were sent.
            async with self.turn:
                await self.open.wait()
                status, value = await call(self.target, "POST", message[0].split(" ")[1],
                                           raw=message[2])
            self.waiting -= 1
            try:
                if status is not None:
                    writer.write(make_response(status, value))
                    await writer.drain()
            except ConnectionError:
                pass
        writer.close()


class OrderProxy(Server):
    """Stands between a companion and its runner, and may hold the next start.

    The held order gets no answer. It is delivered to the same address as soon as deliver() has
    been called and somebody listens there."""

    def __init__(self, runner, proxies):
        super().__init__()
        self.runner = runner
        self.all = proxies
        self.hold_next = False
        self.held = None
        self.may_deliver = asyncio.Event()

    def prepare(self, hold):
        self.hold_next = hold
        self.held = None
        self.may_deliver = asyncio.Event()

    async def answer(self, method, target, headers, value):
        if self.hold_next and target == "/run-start":
            for proxy in self.all:
                proxy.hold_next = False
            self.held = value["task"]
            self.runner.record.add("held", task=value["task"], attempt=value["attempt"],
                                   deadline_ms=value.get("deadline_ms"))
            asyncio.create_task(self.carry_out_late(target, headers, value))
            await asyncio.sleep(60)
            return None
        status, reply = await self.forward(target, headers, value)
        return None if status is None else (status, reply)

    async def forward(self, target, headers, value):
        passed = {}
        if "expect-instance" in headers:
            passed["Expect-Instance"] = headers["expect-instance"]
        return await call(self.runner.address, "POST", target, value, passed)

    async def carry_out_late(self, target, headers, value):
        await self.may_deliver.wait()
        status = None
        while status is None:
            status, reply = await self.forward(target, headers, value)
            await asyncio.sleep(0.001)
        self.runner.record.add("carried out late", task=value["task"], status=status,
                               answer=reply)

    def deliver(self):
        self.may_deliver.set()


class Daemon:
    """One process of the system, which may be frozen, killed and started again."""

    def __init__(self, fleet, role, name, fields):
        self.fleet = fleet
        self.role = role
        self.name = name
        self.fields = fields
        self.process = None
        self.log = open(os.path.join(fleet.folder, f"{name}.log"), "ab")

    def start(self):
        command, template = read_role(self.role)
        text = render(template, self.fields)
        settings = os.path.join(self.fleet.folder, f"{self.name}.yaml")
        with open(settings, "w", encoding="utf-8") as file:
            file.write(text)
        command = [settings if word == DEPLOYED_SETTINGS else word for word in command]
        self.process = subprocess.Popen(command, cwd=ROOT, stdout=self.log,
                                        stderr=subprocess.STDOUT)
        self.fleet.record.add("process", name=self.name, event="started")

    def signal(self, number):
        self.process.send_signal(number)
        self.fleet.record.add("process", name=self.name, event=signal.Signals(number).name)

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Fleet:
    """A small deployment on loopback addresses."""

    def __init__(self, folder, record, entries=2, companions=8, cpu=6400, proxies=False):
        self.folder = folder
        self.record = record
        self.judge = Judge(record)
        self.store = Store()
        self.runners = []
        self.daemons = []
        self.entries = []
        self.companions = []
        self.order_proxies = [] if proxies else None
        self.beat_paths = []  # From each runner to its companion.
        self.entry_count = entries
        self.companion_count = companions
        self.cpu = cpu

    def fields_of(self, name, host, listen):
        return {"node_name": name, "zone": "east-van", "ip": host, "listen": listen,
                "port_range": [free_port(host), free_port(host)], "seeds": self.seeds,
                "platform": {"addr": self.store_address}, "bounds": {"grace_s": GRACE_S}}

    async def start(self, configuration):
        host = "127.0.0.1"
        store_port = free_port(host)
        self.store_address = f"{host}:{store_port}"
        self.store.put("op", "config", json.dumps(configuration).encode())
        await self.store.listen(host, store_port)
        entry_hosts = [f"127.0.1.{number + 1}" for number in range(self.entry_count)]
        control = [free_port(each) for each in entry_hosts]
        self.seeds = [f"{each}:{port}" for each, port in zip(entry_hosts, control)][:3]
        for number, each in enumerate(entry_hosts):
            frontend, readiness = free_port(each), free_port(each)
            daemon = Daemon(self, "entry", f"edge-{number + 1}", self.fields_of(
                f"edge-{number + 1}", each,
                {"frontend": f"{each}:{frontend}", "readiness": f"{each}:{readiness}",
                 "control_plane": f"{each}:{control[number]}"}))
            daemon.frontend = (each, frontend)
            daemon.readiness = (each, readiness)
            self.entries.append(daemon)
        for number in range(self.companion_count):
            each = f"127.0.2.{number + 1}"
            beats, app = free_port(each), free_port(each)
            fields = self.fields_of(f"side-{number + 1}", each,
                                    {"control_plane": f"{each}:{beats}"})
            fields["app"] = f"{each}:{app}"
            daemon = Daemon(self, "companion", f"side-{number + 1}", fields)
            daemon.control_plane = (each, beats)
            self.companions.append(daemon)
            beat_path = HoldingProxy((each, beats))
            await beat_path.start(each)
            self.beat_paths.append(beat_path)
            runner = Runner(number + 1, self.record, self.judge, self.runners,
                            beat_path.address, self.cpu)
            await runner.start(each, app)
            if self.order_proxies is not None:
                proxy = OrderProxy(runner, self.order_proxies)
                port = free_port(each)
                await proxy.listen(each, port)
                fields["app"] = f"{each}:{port}"
                self.order_proxies.append(proxy)
        self.daemons = self.entries + self.companions
        for daemon in self.daemons:
            daemon.start()
        await self.wait_until_ready()

    async def wait_until_ready(self):
        end = time.monotonic() + 20
        while time.monotonic() < end:
            answers = [await call(entry.readiness, "GET", "/health", limit=1.0)
                       for entry in self.entries]
            if all(status == 200 for status, _ in answers) and await self.serves():
                return
            await asyncio.sleep(0.2)
        raise CannotRun("the system did not become ready")

    async def serves(self):
        """Whether every entry gets a small job done on each of several tries."""
        for entry in self.entries:
            status, value = await submit(self, entry.frontend, new_id(), 3, 20, 800, 1500,
                                         quiet=True)
            if status != 200 or not value or value.get("state") != "completed":
                return False
        return True

    def close(self):
        for daemon in self.daemons:
            daemon.end()
        self.store.close()
        for runner in self.runners:
            runner.close()


# Clients.


def new_id():
    return os.urandom(8).hex()


def make_job(tasks, work_ms, cpu):
    return {"spec": json.dumps({"work_ms": work_ms, "cpu": cpu}), "best_effort": True,
            "phases": [{"count": tasks, "cpu": cpu, "mem_mb": 64, "est_runtime_ms": work_ms}]}


async def submit(fleet, address, job, tasks, work_ms, cpu, deadline_ms, quiet=False):
    """Hands a job in and waits for its answer as long as Deadline-Ms says."""
    if not quiet:
        fleet.record.add("sent", job=job, to=f"{address[0]}", tasks=tasks, work_ms=work_ms)
    status, value = await call(address, "POST", PREFIX + job, make_job(tasks, work_ms, cpu),
                               {"Host": HOST_NAME, "Deadline-Ms": str(deadline_ms)},
                               limit=deadline_ms / 1000)
    if not quiet:
        fleet.record.add("answered", job=job, status=status, value=value)
    return status, value


async def cancel(fleet, address, job, limit=1.0):
    status, value = await call(address, "DELETE", PREFIX + job, None, {"Host": HOST_NAME},
                               limit=limit)
    fleet.record.add("cancel", job=job, to=f"{address[0]}", status=status, value=value)
    return status, value


def run_case(case, record_path, **options):
    """Runs case(fleet) and exits with 1 if it returns faults, with 0 if not, else with 2."""
    record = Record(record_path)
    # The processes that were started are ended also when the script is.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))

    async def play(folder):
        fleet = Fleet(folder, record, **options)
        try:
            return await asyncio.wait_for(case(fleet), 100)
        finally:
            fleet.close()

    with tempfile.TemporaryDirectory(prefix="crocuswood-review-") as folder:
        try:
            faults = asyncio.run(play(folder))
        except Exception as error:  # Whatever it is, it says nothing about the rule.
            record.add("cannot run", reason=repr(error))
            print(f"The case could not run: {error!r}")
            sys.exit(2)
        finally:
            keep = os.environ.get("KEEP_LOGS")
            if keep:
                subprocess.run(["cp", "-r", folder, keep], check=False)
    for rule, text in faults[:10]:
        print(f"{rule}: {text}")
    print(f"{len(faults)} faults" if faults else "The rule held.")
    sys.exit(1 if faults else 0)
