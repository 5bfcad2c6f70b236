"""`lab demo`: three brokers with `--fleet`, engines in two zones, and a load; kills the lease holder once."""

import json
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import astuple, dataclass
from typing import Any

import click
import gevent
from gevent import socket
from tabulate import tabulate

from cypressledge.lab.engines import LabEngine
from cypressledge.lab.load import Client
from cypressledge.lab.processes import BrokerProcess, Brokers, until
from cypressledge.lab.site import free_udp_ports

NAMES = ("n1", "n2", "n3")
ZONES = ("room1", "room2")
TERM_S = 1.5
ENGINES = 4
CLIENTS = 6
CLIENT_PAUSE_S = 0.05
HOLDER_TIMEOUT_S = 15
ANSWER_TIMEOUT_S = 0.5
CHUNK_BYTES = 65_536
LIVE_REFRESH_S = 0.3  # s; interval at which the table on a terminal is redrawn
LINE_INTERVAL_S = 1.0  # s; interval of status lines if the output is not redrawn
WATCH_FRACTION = 0.3  # part of the demonstration's duration between two events


def _fleet_settings(ports: dict[str, int]) -> dict:
    return {
        "peers": [
            {"name": name, "address": f"127.0.0.1:{port}", "zone": ZONES[number % 2]}
            for number, (name, port) in enumerate(ports.items())
        ],
        "voters": [{"version": 1, "names": list(ports)}],
        "term_s": TERM_S,
        "ping_s": 0.2,
        "leases": [{"name": "summary"}],
        "tasks": [{"kind": "summary", "lease": "summary", "every_s": 0.4, "longest_s": 0.7}],
    }


def ask(broker: BrokerProcess, path: str) -> Any:
    """Return the JSON answer of a broker's management address; None if there is no valid answer."""
    try:
        with socket.create_connection(("127.0.0.1", broker.management), ANSWER_TIMEOUT_S) as sock:
            sock.settimeout(ANSWER_TIMEOUT_S)
            sock.sendall(f"GET {path} HTTP/1.1\r\nHost: lab\r\n\r\n".encode())
            raw = b""
            while chunk := sock.recv(CHUNK_BYTES):
                raw += chunk
        return json.loads(raw.partition(b"\r\n\r\n")[2])
    except (OSError, ValueError):
        return None


@dataclass(frozen=True, slots=True)
class _Row:
    """The table row of one broker."""

    broker: str
    process: str
    lease: str
    holder: str
    token: object
    summarized: object  # number of brokers that the fleet summary covers
    missing: str

    def cells(self) -> list[object]:
        """Return the row in the order of the table's columns."""
        return list(astuple(self))


class Demo:
    """The brokers, engines and clients of the demonstration, and the display of their state."""

    def __init__(self, live: bool, echo: Callable[[str], None]) -> None:
        self.live = live  # redraw a table on a terminal instead of printing lines
        self.echo = echo
        self.began = time.monotonic()
        self.engines = [LabEngine(f"s-{number + 1}", ZONES[number % 2]) for number in range(ENGINES)]
        self.brokers = Brokers()
        settings = _fleet_settings(free_udp_ports(list(NAMES)))
        for name in NAMES:
            self.brokers.add(name, settings, [engine.member() for engine in self.engines]).start()
        ports = [broker.port for broker in self.brokers.all.values()]
        self.clients = [Client(ports, CLIENT_PAUSE_S, first) for first in range(CLIENTS)]
        self.greenlets: list[gevent.Greenlet] = []
        self.last_event = ""

    def holder(self, excluded: str = "") -> str:
        """Return the broker that reports holding the lease, ignoring `excluded`; empty if there is none."""
        for name, broker in self.brokers.all.items():
            if name != excluded and broker.running():
                rows = ask(broker, "/fleet/leases") or []
                if any(row["lease"] == "summary" and row["state"] == "held" for row in rows):
                    return name
        return ""

    def announce(self, event: str) -> None:
        """Record an event with its time for the table, or print it if no table is shown."""
        self.last_event = f"{time.monotonic() - self.began:5.1f} s  {event}"
        if not self.live:
            self.echo(self.last_event)

    def show(self) -> None:
        """Show the state: redraw the table on a terminal, or print one line elsewhere."""
        rows = [self._row(name, broker) for name, broker in self.brokers.all.items()]
        counts = sum((client.counts for client in self.clients), Counter())
        if self.live:
            click.clear()
            headers = ["broker", "process", "lease", "holder", "token", "summed up", "missing"]
            self.echo(tabulate([row.cells() for row in rows], headers=headers))
            self.echo(
                f"\nserved {counts['served']}, rejected {counts['rejected']}, broken {counts['broken']}"
            )
            self.echo(self.last_event)
            return
        held = next((row for row in rows if row.lease == "held"), None)
        who, token = (held.broker, held.token) if held else ("none", "-")
        self.echo(
            f"{time.monotonic() - self.began:5.1f} s  holder {who}, token {token}, "
            f"served {counts['served']}, broken {counts['broken']}"
        )

    def _row(self, name: str, broker: BrokerProcess) -> _Row:
        lease = next(iter(ask(broker, "/fleet/leases") or []), None)
        summary = ask(broker, "/fleet/summary") or {}
        return _Row(
            name,
            "up" if broker.running() else "gone",
            lease["state"] if lease else "-",
            lease["holder"] if lease else "-",
            lease["token"] if lease else "-",
            summary.get("brokers", "-"),
            " ".join(summary.get("missing", [])) or "-",
        )

    def watch(self, seconds: float) -> None:
        """Show the state periodically for `seconds`."""
        end = time.monotonic() + seconds
        while (left := end - time.monotonic()) > 0:
            self.show()
            gevent.sleep(min(left, LIVE_REFRESH_S if self.live else LINE_INTERVAL_S))

    def run_events(self, seconds: float) -> int:
        """Run all events in order; return 0 if the lease got a new holder and clients were served, else 1."""
        self.announce("three brokers start; a voter that starts is in voting quarantine for a term")
        first = until(self.holder, HOLDER_TIMEOUT_S)
        if not first:
            self.announce("no broker came to hold the lease")
            return 1
        self.greenlets = [gevent.spawn(client.run) for client in self.clients]
        self.announce(f"{first} holds the lease and sums up the fleet's figures")
        self.watch(seconds * WATCH_FRACTION)
        self.announce(f"{first}, the holder, is killed")
        killed = time.monotonic()
        self.brokers.all[first].kill()
        self.show()
        second = until(lambda: self.holder(first), HOLDER_TIMEOUT_S)
        if not second:
            self.announce("nobody followed")
            return 1
        self.announce(
            f"{second} has followed after {time.monotonic() - killed:.2f} s (the term is {TERM_S} s)"
        )
        self.watch(seconds * WATCH_FRACTION)
        self.brokers.all[first].start()
        self.announce(f"{first} starts anew")
        self.watch(seconds * WATCH_FRACTION)
        served = sum(client.counts["served"] for client in self.clients)
        self.announce(
            f"the end: {served} lookups served; before the kill {first} held the lease, then {second}"
        )
        if self.live:
            self.show()
        return 0 if served else 1

    def end(self) -> None:
        """Stop all clients, brokers and engines."""
        gevent.killall(self.greenlets)
        self.brokers.end()
        for engine in self.engines:
            engine.close()


def run(seconds: float, live: bool) -> int:
    """Run the demonstration; return the exit code."""
    demo = Demo(live, click.echo)
    try:
        return demo.run_events(seconds)
    finally:
        demo.end()
