"""Callers connect and send one request each while an entry stops and starts again and again.

Guards against the loss of whole requests on connections that are established around the moment at
which the listening socket closes.
"""

import multiprocessing
import os
import socket
import time

from fleet import TEAM, expect, run, wait_until
from raw_callers import take_response

STOPS = 60
STOP_INTERVAL_S = 0.2
CALLERS = 4
AT_ONCE = 50
CONNECT_LIMIT_S = 5
LIMITS = "{connections: 4000}"


def send(address, number):
    """Returns a connection with a whole request on it, or None if it is refused."""
    body = (f'{{"class":"pivot-check","team":"{TEAM}","tasks":'
            f'[{{"input":{{"sleep_ms":1,"nonce":"{os.getpid()}-{number}"}}}}]}}')
    host, port = address.rsplit(":", 1)
    try:
        connection = socket.create_connection((host, int(port)), timeout=CONNECT_LIMIT_S)
    except OSError:
        return None
    try:
        connection.sendall(f"POST /v1/jobs HTTP/1.1\r\nHost: entry\r\nConnection: close\r\n"
                           f"Content-Length: {len(body)}\r\n\r\n{body}".encode())
    except OSError:
        pass  # The request may be whole for the other side, so its answer is asked for.
    return connection


def is_answered(connection):
    data = b""
    with connection:
        try:
            while part := connection.recv(4096):
                data += part
        except OSError:
            pass
    return take_response(data) is not None


def call(address, ending, tallies):
    sent = broken_off = 0
    while not ending.is_set():
        connections = [send(address, sent + number) for number in range(AT_ONCE)]
        answers = [is_answered(each) for each in connections if each]
        sent += len(answers)
        broken_off += answers.count(False)
        time.sleep(0.001)
    tallies.put((sent, broken_off))


def test(fleet):
    fleet.entries = [fleet.start_entry("entry-1", limits=LIMITS)]
    fleet.companions, fleet.endpoints = [], []
    for number in (1, 2):
        fleet.add_endpoint_vm(number)
    fleet.configure(fleet.entries[0])
    fleet.wait_until_ready()
    address = fleet.entries[0].callers
    ending, tallies = multiprocessing.Event(), multiprocessing.Queue()
    callers = [multiprocessing.Process(target=call, args=(address, ending, tallies), daemon=True)
               for _ in range(CALLERS)]
    for caller in callers:
        caller.start()
    for _ in range(STOPS):
        time.sleep(STOP_INTERVAL_S)
        fleet.entries[0].stop()
        entry = fleet.entries[0] = fleet.start_entry("entry-1", callers=address, limits=LIMITS)
        wait_until(lambda each=entry: f"Listens on {address}" in each.read_log(),
                   "the entry listens")
    ending.set()
    ends = [tallies.get(timeout=CONNECT_LIMIT_S * AT_ONCE) for _ in callers]
    print("sent, broken off:", ends, flush=True)
    expect(sum(broken_off for _, broken_off in ends) == 0, "whole requests are broken off")


run(test)
