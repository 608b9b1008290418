"""Callers on sockets of their own, which tell what became of each whole request.

A whole request ends in one of three ways: it is answered, it is refused (also one that crosses
the refusal with which its connection ends, and one behind an answer with `Connection: close`), or
it is broken off: its connection ends, or nothing comes. A refused connection is no request.

One thread serves all connections. A connection may have a travel time: what it sends reaches the
socket that much later, and what comes is looked at that much later, as on a network.
"""

import collections
import heapq
import itertools
import json
import selectors
import socket
import threading
import time

REFUSALS = (429, 503)
TURN_S = 0.01
CONNECT_LIMIT_S = 2
READ_BYTES = 65536
STYLES = ("plain", "plain", "slow", "pipelined", "closing")
TRAVEL_S = (0, 0, 0.02, 0.08, 0.15)


def job_request(name, number, draw, kinds, closing):
    """Returns the bytes of one whole request."""
    work_class, team = draw.choice(kinds)
    task = {"input": {"sleep_ms": draw.randint(1, 60), "nonce": f"{name}-{number}"}}
    body = {"class": work_class, "team": team, "tasks": [task]}
    if work_class == "sale":
        body["idempotency_key"] = f"{name}-{number}"
    text = json.dumps(body).encode()
    head = f"POST /v1/jobs HTTP/1.1\r\nHost: entry\r\nContent-Length: {len(text)}\r\n"
    if closing:
        head += "Connection: close\r\n"
    return head.encode() + b"\r\n" + text


def take_response(data):
    """Returns (status, closes, rest) of the first complete response in data, or None."""
    head, found, rest = data.partition(b"\r\n\r\n")
    if not found:
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = dict(line.lower().split(":", 1) for line in lines[1:])
    length = int(fields.get("content-length", "0"))
    if len(rest) < length:
        return None
    closes = fields.get("connection", "").strip() == "close"
    return int(lines[0].split()[1]), closes, rest[length:]


class RawConnection:
    """One connection from its opening to its end, and the requests outstanding on it."""

    def __init__(self, callers, address, hasty=False):
        self.callers = callers
        self.address = address
        self.hasty = hasty
        self.draw = callers.draw
        self.name = f"{callers.name}.{next(callers.numbers)}"
        self.style = "closing" if hasty else self.draw.choice(STYLES)
        self.travel = 0 if hasty else self.draw.choice(TRAVEL_S)
        self.opened = time.monotonic()
        self.last_event = self.opened
        self.sent = 0
        self.writing = False
        self.says_close = False
        self.ended = False
        self.outstanding = collections.deque()
        self.data = b""
        host, port = address.rsplit(":", 1)
        self.socket = socket.create_connection((host, int(port)), timeout=CONNECT_LIMIT_S)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.socket.setblocking(False)
        callers.selector.register(self.socket, selectors.EVENT_READ, self)

    def is_resting(self):
        return not (self.ended or self.writing or self.says_close or self.outstanding)

    def pause(self):
        """A pause before the next request: none, a short one, or one near the idle limit."""
        return self.draw.choice((0, 0, self.draw.uniform(0, 0.3), self.draw.uniform(0, 0.3),
                                 self.draw.uniform(0.3, 2), self.draw.uniform(0.9, 1.1)))

    def send_later(self, pause):
        self.callers.at(pause, self.begin)

    def begin(self):
        """Starts one request or two, unless the connection has ended or is busy."""
        if not self.is_resting() or self.callers.closing:
            return
        self.writing = True
        count = 2 if self.style == "pipelined" else 1
        self.says_close = self.hasty or self.style == "closing" and self.draw.random() < 0.5
        data = b""
        for _ in range(count):
            self.sent += 1
            data += job_request(self.name, self.sent, self.draw, self.callers.kinds,
                                self.says_close)
        places = [len(data)]
        if self.style == "slow":
            places = sorted(self.draw.randrange(1, len(data)) for _ in range(2)) + places
        pieces = [data[start:end] for start, end in zip([0] + places, places)]
        self.write(pieces, count)

    def write(self, pieces, count):
        if self.travel == 0:
            self.read()
        if self.ended:
            return
        piece = pieces.pop(0)
        if not pieces:
            self.writing = False
            now = time.monotonic()
            self.outstanding.extend((now, now - self.last_event) for _ in range(count))
            self.callers.whole += count
        self.callers.at(self.travel, lambda: self.put(piece))
        if pieces:
            self.callers.at(self.draw.uniform(0.001, 0.2), lambda: self.write(pieces, count))

    def put(self, piece):
        if self.ended:
            return
        try:
            self.socket.sendall(piece)
        except OSError:
            pass  # What comes, or the end of it, tells what became of the request.

    def read(self):
        """Takes what has come; it is looked at after the travel time."""
        while not self.ended:
            try:
                data = self.socket.recv(READ_BYTES)
                how = "closed"
            except BlockingIOError:
                return
            except OSError as error:
                data, how = b"", f"{error.strerror}"
            self.callers.at(self.travel, lambda data=data, how=how: self.take(data, how))
            if not data:
                self.callers.forget(self)
                return

    def take(self, data, how):
        if self.ended:
            return
        if not data:
            self.end(f"{how} after {len(self.data)} bytes of an answer")
            return
        self.data += data
        while not self.ended and (response := take_response(self.data)):
            status, closes, self.data = response
            self.last_event = time.monotonic()
            self.callers.statuses[status] += 1
            if self.outstanding:
                self.outstanding.popleft()
                self.callers.tally["refused" if status in REFUSALS else "answered"] += 1
            else:
                self.callers.tally["unsolicited"] += 1
            if closes:
                self.callers.tally["not_taken"] += len(self.outstanding)
                self.outstanding.clear()
                self.end("")
        if self.is_resting():
            self.send_later(self.pause())

    def end(self, how):
        """Records what is still outstanding as broken off, and lets another one connect."""
        self.ended = True
        for sent, rested in self.outstanding:
            self.callers.cuts.append(
                {"entry": self.address, "sent": sent, "cut": time.monotonic(), "how": how,
                 "style": self.style, "travel_ms": round(self.travel * 1000),
                 "rested_ms": round(rested * 1000), "request": self.sent,
                 "age_ms": round((time.monotonic() - self.opened) * 1000)})
        self.callers.forget(self)
        self.socket.close()
        self.callers.connections.discard(self)
        if not self.hasty:
            self.callers.connect_later(self.draw.choice((0, self.draw.uniform(0, 0.2))))


class RawCallers:
    """Kept connections to the entries at addresses, which run until stop()."""

    def __init__(self, addresses, draw, count, kinds):
        self.addresses = addresses
        self.draw = draw
        self.count = count
        self.kinds = kinds
        self.name = f"raw-{draw.randrange(1 << 30)}"
        self.numbers = itertools.count()
        self.order = itertools.count()
        self.selector = selectors.DefaultSelector()
        self.timers = []
        self.bursts = collections.deque()
        self.rushes = collections.deque()
        self.connections = set()
        self.tally = collections.Counter()
        self.statuses = collections.Counter()
        self.whole = 0
        self.cuts = []
        self.closing = False
        self.ending = False
        self.fault = None
        self.thread = threading.Thread(target=self.run, daemon=True)

    def start(self):
        for _ in range(self.count):
            self.connect_later(self.draw.uniform(0, 0.5))
        self.thread.start()

    def burst(self, address, within_s):
        """Makes every resting connection to this entry send within the given time."""
        self.bursts.append((address, within_s))

    def rush(self, address, count, within_s):
        """Lets callers connect to this entry within the given time, for one request each."""
        self.rushes.append((address, count, within_s))

    def stop(self, limit_s):
        """Sends nothing more, waits for what is outstanding, and returns the tally."""
        self.closing = True
        end = time.monotonic() + limit_s
        while time.monotonic() < end and self.thread.is_alive() and any(
                each.outstanding or each.writing for each in list(self.connections)):
            time.sleep(TURN_S)
        self.ending = True
        self.thread.join()
        if self.fault:
            raise self.fault
        for connection in list(self.connections):
            connection.end("nothing came")
        self.tally["broken_off"] = len(self.cuts)
        return dict(self.tally)

    # For the connections, in the thread.

    def at(self, pause, function):
        if pause <= 0:
            function()
            return
        heapq.heappush(self.timers, (time.monotonic() + pause, next(self.order), function))

    def forget(self, connection):
        try:
            self.selector.unregister(connection.socket)
        except (KeyError, ValueError):
            pass

    def connect_later(self, pause):
        heapq.heappush(self.timers, (time.monotonic() + pause, next(self.order), self.connect))

    def connect(self):
        if self.closing:
            return
        try:
            connection = RawConnection(self, self.draw.choice(self.addresses))
        except OSError:
            self.tally["unreached"] += 1
            self.connect_later(0.05)
            return
        self.connections.add(connection)
        connection.send_later(connection.pause())

    def hurry(self, address):
        try:
            connection = RawConnection(self, address, hasty=True)
        except OSError:
            self.tally["unreached"] += 1
            return
        self.connections.add(connection)
        connection.begin()

    def run(self):
        try:
            while not self.ending:
                self.turn()
        except Exception as fault:  # pylint: disable=broad-except
            self.fault = fault

    def turn(self):
        while self.bursts:
            address, within_s = self.bursts.popleft()
            for connection in list(self.connections):
                if connection.address == address:
                    connection.send_later(self.draw.uniform(0.001, within_s))
        while self.rushes:
            address, count, within_s = self.rushes.popleft()
            for _ in range(count):
                self.at(self.draw.uniform(0.001, within_s),
                        lambda address=address: self.hurry(address))
        now = time.monotonic()
        while self.timers and self.timers[0][0] <= now:
            heapq.heappop(self.timers)[2]()
        pause = self.timers[0][0] - time.monotonic() if self.timers else TURN_S
        for key, _ in self.selector.select(min(max(pause, 0), TURN_S)):
            key.data.read()
