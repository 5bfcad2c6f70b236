"""A small load tool: JSON-RPC clients that ask brokers for lookups and count what they get. Loopback only."""

import base64
import json
import secrets
import time
from collections import Counter

import gevent
from gevent import socket

STATEMENT = base64.b64encode(b"SELECT a, b, c FROM sales_17.orders").decode()
WAIT_MS = 3_000


def answer(file) -> dict:
    """The next JSON-RPC answer on a connection. Raises `OSError` where there is none."""
    size = 0
    while line := file.readline().strip():
        key, _, value = line.partition(b":")
        if key.lower() == b"content-length":
            size = int(value)
    if not size:
        raise OSError("the broker hung up")
    return json.loads(file.read(size))


class Client:
    """Asks one broker after another, as a front layer spreads clients; one that is down is passed over."""

    def __init__(self, ports: list[int], pause_s: float, first: int) -> None:
        self.ports, self.pause_s, self.at = ports, pause_s, first
        self.counts: Counter[str] = Counter()
        self.latencies: list[float] = []  # seconds, of what was served

    def run(self) -> None:
        """A greenlet: one query after the other, each on the connection that is open."""
        while True:
            port = self.ports[self.at % len(self.ports)]
            try:
                with socket.create_connection(("127.0.0.1", port), 1.0) as sock:
                    sock.settimeout(WAIT_MS / 1000 + 1)
                    self._ask_on(sock, sock.makefile("rb"))
            except (OSError, ValueError):
                self.counts["broken"] += 1
            self.at += 1
            gevent.sleep(self.pause_s)

    def _ask_on(self, sock, file) -> None:
        number = 0
        while True:
            number += 1
            body = json.dumps(
                {
                    "jsonrpc": "2.0",
                    "id": number,
                    "method": "lookup",
                    "params": {
                        "id": secrets.token_hex(8),
                        "wait": WAIT_MS,
                        "tenant": "sahel",
                        "cost": 20.0,
                        "mem": 10,
                        "content": STATEMENT,
                    },
                }
            ).encode()
            sock.sendall(b"Content-Length: %d\r\n\r\n" % len(body) + body)
            asked = time.monotonic()
            served = "result" in answer(file)
            self.counts["served" if served else "refused"] += 1
            if served:
                self.latencies.append(time.monotonic() - asked)
            gevent.sleep(self.pause_s)
