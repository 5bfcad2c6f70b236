"""The first command: three brokers with the fleet's part on, engines in two zones, a load, one kill."""

import json
import time
from collections import Counter
from collections.abc import Callable

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
TERM = 1.5


def _fleet(ports: dict[str, int]) -> dict:
    return {
        "peers": [
            {"name": n, "address": f"127.0.0.1:{p}", "zone": ZONES[i % 2]}
            for i, (n, p) in enumerate(ports.items())
        ],
        "voters": [{"version": 1, "names": list(ports)}],
        "term_s": TERM,
        "ping_s": 0.2,
        "leases": [{"name": "summary"}],
        "tasks": [{"kind": "summary", "lease": "summary", "every_s": 0.4, "longest_s": 0.7}],
    }


def ask(broker: BrokerProcess, path: str) -> object:
    """A broker's answer on its management address; None where there is none."""
    try:
        with socket.create_connection(("127.0.0.1", broker.management), 0.5) as sock:
            sock.settimeout(0.5)
            sock.sendall(f"GET {path} HTTP/1.1\r\nHost: lab\r\n\r\n".encode())
            raw = b""
            while chunk := sock.recv(65_536):
                raw += chunk
        return json.loads(raw.partition(b"\r\n\r\n")[2])
    except (OSError, ValueError):
        return None


class Demo:
    """What runs, and what is shown of it."""

    def __init__(self, live: bool, say: Callable[[str], None]) -> None:
        self.live, self.say = live, say
        self.began = time.monotonic()
        self.engines = [LabEngine(f"s-{i + 1}", ZONES[i % 2]) for i in range(4)]
        self.fleet = Brokers()
        told = _fleet(free_udp_ports(list(NAMES)))
        for name in NAMES:
            self.fleet.add(name, told, [e.member() for e in self.engines]).start()
        ports = [b.port for b in self.fleet.all.values()]
        self.clients = [Client(ports, 0.05, i) for i in range(6)]
        self.parts: list = []
        self.words = ""

    def holder(self, but: str = "") -> str:
        """Who says that it holds the lease, if not `but`."""
        for name, broker in self.fleet.all.items():
            if name != but and broker.running():
                rows = ask(broker, "/fleet/leases") or []
                if any(r["lease"] == "summary" and r["state"] == "held" for r in rows):
                    return name
        return ""

    def tell(self, words: str) -> None:
        """Something has happened."""
        self.words = f"{time.monotonic() - self.began:5.1f} s  {words}"
        if not self.live:
            self.say(self.words)

    def show(self) -> None:
        """The table, drawn anew on a terminal; one line elsewhere."""
        rows = []
        for name, broker in self.fleet.all.items():
            lease = next(iter(ask(broker, "/fleet/leases") or []), None)
            summary = ask(broker, "/fleet/summary") or {}
            rows.append(
                [
                    name,
                    "up" if broker.running() else "gone",
                    lease["state"] if lease else "-",
                    *((lease["holder"], lease["token"]) if lease else "--"),
                    summary.get("brokers", "-"),
                    " ".join(summary.get("missing", [])) or "-",
                ]
            )
        served = sum((c.counts for c in self.clients), Counter())
        if self.live:
            click.clear()
            heads = ["broker", "process", "lease", "holder", "token", "summed up", "missing"]
            self.say(tabulate(rows, headers=heads))
            self.say(f"\nserved {served['served']}, refused {served['refused']}, broken {served['broken']}")
            self.say(self.words)
        else:
            held = next((r for r in rows if r[2] == "held"), None)
            who, token = (held[0], held[4]) if held else ("none", "-")
            self.say(
                f"{time.monotonic() - self.began:5.1f} s  holder {who}, token {token}, "
                f"served {served['served']}, broken {served['broken']}"
            )

    def watch(self, seconds: float) -> None:
        """Show how it stands for a while."""
        end = time.monotonic() + seconds
        while (left := end - time.monotonic()) > 0:
            self.show()
            gevent.sleep(min(left, 0.3 if self.live else 1.0))

    def play(self, seconds: float) -> int:
        """The story; 0 if the lease found a new holder and clients were served."""
        self.tell("three brokers start; a voter that starts is mute for a term")
        first = until(self.holder, 15)
        if not first:
            self.tell("no broker came to hold the lease")
            return 1
        self.parts = [gevent.spawn(c.run) for c in self.clients]
        self.tell(f"{first} holds the lease and sums up the fleet's figures")
        self.watch(seconds * 0.3)
        self.tell(f"{first}, the holder, is killed")
        killed = time.monotonic()
        self.fleet.all[first].kill()
        self.show()
        second = until(lambda: self.holder(first), 15)
        if not second:
            self.tell("nobody followed")
            return 1
        self.tell(f"{second} has followed after {time.monotonic() - killed:.2f} s (the term is {TERM} s)")
        self.watch(seconds * 0.3)
        self.fleet.all[first].start()
        self.tell(f"{first} starts anew")
        self.watch(seconds * 0.3)
        served = sum(c.counts["served"] for c in self.clients)
        self.tell(f"the end: {served} lookups served; before the kill {first} held the lease, then {second}")
        if self.live:
            self.show()
        return 0 if served else 1

    def end(self) -> None:
        """Nothing is left behind."""
        gevent.killall(self.parts)
        self.fleet.end()
        for engine in self.engines:
            engine.close()


def run(seconds: float, live: bool) -> int:
    """Play it; the exit code."""
    demo = Demo(live, click.echo)
    try:
        return demo.play(seconds)
    finally:
        demo.end()
