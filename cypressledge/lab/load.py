"""JSON-RPC clients that put a small load of lookups on brokers and count the answers. Loopback only."""

import base64
import json
import secrets
import time
from collections import Counter
from typing import BinaryIO

import gevent
from gevent import socket

STATEMENT = base64.b64encode(b"SELECT a, b, c FROM sales_17.orders").decode()
WAIT_MS = 3_000  # ms; how long a client waits for an answer
COST_MS = 20.0  # ms; cost estimate that a client sends with a lookup
CONNECT_TIMEOUT_S = 1.0
TIMEOUT_MARGIN_S = 1  # s that the socket timeout exceeds the client's wait


def lookup_request(number: int, query_id: str, wait_ms: int, cost: float, statement: str) -> bytes:
    """Return the framed JSON-RPC request of one lookup.

    `number`: JSON-RPC id, the request's number on its connection; `cost`: the client's estimate of the
    statement's work, ms; `statement`: in base64.
    """
    body = json.dumps(
        {
            "jsonrpc": "2.0",
            "id": number,
            "method": "lookup",
            "params": {
                "id": query_id,
                "wait": wait_ms,
                "tenant": "sahel",
                "cost": cost,
                "mem": 10,
                "content": statement,
            },
        }
    ).encode()
    return b"Content-Length: %d\r\n\r\n" % len(body) + body


def answer(file: BinaryIO) -> dict:
    """Return the next JSON-RPC answer on a connection. Raises `OSError` if there is none."""
    size = 0
    while line := file.readline().strip():
        key, _, value = line.partition(b":")
        if key.lower() == b"content-length":
            size = int(value)
    if not size:
        raise OSError("the broker closed the connection or sent an answer without a Content-Length")
    return json.loads(file.read(size))


class Client:
    """A client that moves on to the next broker when its connection fails, as behind a load balancer.

    `ports`: ports of the brokers; `pause_s`: s between two lookups; `first`: index of the first port to use.
    """

    def __init__(self, ports: list[int], pause_s: float, first: int) -> None:
        self.ports = ports
        self.pause_s = pause_s
        self.next_port = first
        self.counts: Counter[str] = Counter()  # lookups served and rejected, connections broken
        self.latencies: list[float] = []  # s; of lookups that were served

    def run(self) -> None:
        """Send lookups one after another, reconnecting after each failure; runs as a greenlet."""
        while True:
            port = self.ports[self.next_port % len(self.ports)]
            try:
                with socket.create_connection(("127.0.0.1", port), CONNECT_TIMEOUT_S) as sock:
                    sock.settimeout(WAIT_MS / 1000 + TIMEOUT_MARGIN_S)
                    self._send_lookups(sock, sock.makefile("rb"))
            except (OSError, ValueError):
                self.counts["broken"] += 1
            self.next_port += 1
            gevent.sleep(self.pause_s)

    def _send_lookups(self, sock: socket.socket, file: BinaryIO) -> None:
        number = 0
        while True:
            number += 1
            sock.sendall(lookup_request(number, secrets.token_hex(8), WAIT_MS, COST_MS, STATEMENT))
            sent_at = time.monotonic()
            served = "result" in answer(file)
            self.counts["served" if served else "rejected"] += 1
            if served:
                self.latencies.append(time.monotonic() - sent_at)
            gevent.sleep(self.pause_s)
