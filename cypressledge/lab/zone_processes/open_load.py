"""An open load of lookups: queries arrive at a rate that does not depend on the answers to earlier ones."""

import base64
import random
import secrets
import time
from collections import Counter
from typing import BinaryIO

import gevent
from gevent import socket
from gevent.queue import Queue

from cypressledge.lab.load import answer, lookup_request

OBJECTIVE_S = 0.6  # s; fixed part of a lookup's latency objective
OBJECTIVE_STRETCH = 1.5  # multiple of a lookup's work that is added to its latency objective
CLIENT_WAIT_S = 3.0  # s; how long a client waits for an answer, from the arrival of the query
MIN_WAIT_S = 0.01  # s; a query with less waiting time left is not sent
CLIENTS = 96
TABLES = 20
RECONNECT_S = 0.02  # s; delay before a client reconnects


class OpenLoad:
    """Clients with one connection each, spread over the brokers.

    `rate`: queries per second; `work_ms`: work of a query; `counts`: asked, sent, kept (answered in time),
    late and broken.
    """

    def __init__(self, ports: list[int], rate: float, work_ms: int, seed: int) -> None:
        self.ports = ports
        self.rate = rate  # queries per second
        self.work_ms = work_ms
        self.random = random.Random(seed)
        self.waiting: Queue[float] = Queue()  # arrival times of queries (monotonic clock, s)
        self.counts: Counter[str] = Counter()
        self.greenlets = [gevent.spawn(self._client, number) for number in range(CLIENTS)]
        self.greenlets.append(gevent.spawn(self._arrivals))

    def end(self) -> None:
        """Stop all clients and the arrival of queries."""
        gevent.killall(self.greenlets)

    def _arrivals(self) -> None:
        due = time.monotonic()
        while True:
            due += self.random.expovariate(self.rate)
            gevent.sleep(max(0.0, due - time.monotonic()))
            self.counts["asked"] += 1
            self.waiting.put(time.monotonic())

    def _client(self, number: int) -> None:
        while True:
            port = self.ports[number % len(self.ports)]
            number += 1  # like a load balancer, which redirects the clients of a broker that is down
            try:
                with socket.create_connection(("127.0.0.1", port), 1.0) as connection:
                    connection.settimeout(CLIENT_WAIT_S + 0.5)
                    file = connection.makefile("rb")
                    while True:
                        self._send_query(connection, file, self.waiting.get())
            except (OSError, ValueError):
                self.counts["broken"] += 1
                gevent.sleep(RECONNECT_S)

    def _send_query(self, connection: socket.socket, file: BinaryIO, arrived_at: float) -> None:
        time_left = CLIENT_WAIT_S - (time.monotonic() - arrived_at)
        if time_left <= MIN_WAIT_S:
            return
        table = self.random.randrange(TABLES)
        statement = base64.b64encode(b"SELECT a FROM sales_%d.orders /* %d ms */" % (table, self.work_ms))
        self.counts["sent"] += 1
        query_id = secrets.token_hex(8)
        wait_ms = int(time_left * 1000)
        cost = float(self.work_ms)
        connection.sendall(lookup_request(self.counts["sent"], query_id, wait_ms, cost, statement.decode()))
        if "result" in answer(file):
            objective = OBJECTIVE_S + OBJECTIVE_STRETCH * self.work_ms / 1000
            self.counts["late" if time.monotonic() - arrived_at > objective else "kept"] += 1
