"""Signals in series while an entry stops: SIGTERM again and SIGHUP, until the process is gone.

Guards against a signal that ends a stopping process before the answers to its callers.
"""

import json
import signal
import socket
import time

from fleet import CLASSES, HTTP_LIMIT_S, TEAM, expect, run

SIGNAL_INTERVAL_S = 0.02
RUN_MS = 1500


def submit(address):
    """Sends a whole request and returns the open connection."""
    host, port = address.split(":")
    body = json.dumps({"class": CLASSES[0]["name"], "team": TEAM,
                       "tasks": [{"input": {"sleep_ms": RUN_MS}}]})
    caller = socket.create_connection((host, int(port)), timeout=HTTP_LIMIT_S)
    caller.sendall((f"POST /v1/jobs HTTP/1.1\r\nHost: {host}\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n{body}").encode())
    return caller


def read_status(caller):
    """Returns the status of the answer, or None if the connection broke."""
    try:
        first = caller.recv(65536).decode()
    except OSError:
        return None
    return int(first.split()[1]) if first.startswith("HTTP/1.1 ") else None


def stop_with_signals(fleet, entry, signals):
    idle = socket.create_connection(entry.callers.split(":"), timeout=HTTP_LIMIT_S)
    waiting = submit(entry.callers)
    time.sleep(0.2)
    entry.popen.send_signal(signal.SIGTERM)
    while entry.is_running():
        for number in signals:
            entry.popen.send_signal(number)
        time.sleep(SIGNAL_INTERVAL_S)
    expect(read_status(waiting) == 200, f"{entry.name} did not answer beside {signals}")
    expect(entry.popen.returncode == 0, f"{entry.name} ended with {entry.popen.returncode}")
    waiting.close()
    idle.close()


def test(fleet):
    fleet.start_vms(entries=3, companions=2)
    stop_with_signals(fleet, fleet.entries[0], [signal.SIGTERM])
    stop_with_signals(fleet, fleet.entries[1], [signal.SIGHUP])
    stop_with_signals(fleet, fleet.entries[2], [signal.SIGHUP, signal.SIGTERM])


run(test)
