"""What the fleet's part costs a broker: memory, processor time, and the time a request takes, off against on.

Starts real brokers on the loopback, half of the measurement without and half with `--fleet`, the same load on
both; reads /proc of the processes it started.
"""

import os
import time
from collections.abc import Callable
from pathlib import Path

import gevent
from tabulate import tabulate

from cypressledge.lab.demo import ask
from cypressledge.lab.engines import LabEngine
from cypressledge.lab.load import Client
from cypressledge.lab.processes import BrokerProcess, Brokers, until
from cypressledge.lab.site import free_udp_ports

LOADED = 4  # brokers that get load
TICKS = os.sysconf("SC_CLK_TCK")


def memory_mb(broker: BrokerProcess) -> float:
    """Resident memory of a process, MB."""
    text = Path(f"/proc/{broker.process.pid}/status").read_text()
    return int(next(line for line in text.splitlines() if line.startswith("VmRSS")).split()[1]) / 1024


def cpu_s(broker: BrokerProcess) -> float:
    """Processor seconds of a process so far."""
    fields = Path(f"/proc/{broker.process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def _settings(names: list[str], leases: int) -> dict:
    ports = free_udp_ports(names)
    return {
        "peers": [{"name": n, "address": f"127.0.0.1:{p}"} for n, p in ports.items()],
        "voters": [{"version": 1, "names": names[: min(5, len(names) - (len(names) + 1) % 2)]}],
        "leases": [{"name": f"lease-{i}"} for i in range(leases)] + [{"name": "summary"}],
        "tasks": [{"kind": "summary", "lease": "summary", "every_s": 0.5, "longest_s": 1.0}],
    }


class Half:
    """Brokers with the fleet's part on, or off, the stand-in engines they use, and their clients."""

    def __init__(self, count: int, leases: int, on: bool) -> None:
        self.on, self.parts, self.clients = on, [], []
        self.engines = [LabEngine(f"s-{i + 1}", "room1", 0.005) for i in range(4)]
        self.fleet = Brokers()
        names = [f"n{i}" for i in range(count)]
        told = _settings(names, leases)
        for name in names:
            self.fleet.add(name, told, [e.member() for e in self.engines]).start(on)
        self.brokers = list(self.fleet.all.values())

    def ready(self) -> bool:
        """Whether all take clients."""
        return all("listening on" in b.words() for b in self.brokers)

    def load(self, clients_each: int, pause: float) -> None:
        """Put a load on the first brokers, not running yet."""
        gevent.killall(self.parts)
        self.clients = [
            Client([b.port], pause, 0) for b in self.brokers[:LOADED] for _ in range(clients_each)
        ]

    def round(self, seconds: float) -> list[float]:
        """Run the load for a while; the lookups' times, s, sorted."""
        for client in self.clients:
            client.latencies.clear()
        self.parts = [gevent.spawn(c.run) for c in self.clients]
        gevent.sleep(seconds)
        gevent.killall(self.parts)
        return sorted(t for c in self.clients for t in c.latencies)

    def cpu(self, seconds: float) -> list[float]:
        """Each broker's part of a core while nobody asks anything, percent."""
        before, began = [cpu_s(b) for b in self.brokers], time.monotonic()
        gevent.sleep(seconds)
        took = time.monotonic() - began
        return [(cpu_s(b) - was) / took * 100 for b, was in zip(self.brokers, before, strict=True)]

    def end(self) -> None:
        """Nothing is left behind."""
        gevent.killall(self.parts)
        self.fleet.end()
        for engine in self.engines:
            engine.close()


def _p99(times: list[float]) -> float:
    return times[min(len(times) - 1, int(len(times) * 0.99))] * 1e3 if times else 0.0


def _middle(values: list[float]) -> float:
    return sorted(values)[len(values) // 2]


def _paired(halves: tuple[Half, Half], load: tuple[int, float], rounds: int, seconds: float) -> list:
    """Load without and with in turns, so that the machine's own ups and downs meet both alike."""
    for half in halves:
        half.load(*load)
        half.round(0.5)
    times = [[half.round(seconds) for half in halves] for _ in range(rounds)]
    p99 = [[_p99(t) for t in pair] for pair in times]
    more = sorted(on - off for off, on in p99)
    return [
        sum(len(t) for pair in times for t in pair),
        _middle([off for off, _ in p99]),
        _middle([on for _, on in p99]),
        _middle(more),
        more[len(more) // 4],
        more[len(more) * 3 // 4],
    ]


def run(brokers: int, leases: int, seconds: float, rounds: int, say: Callable[[str], None]) -> int:
    """Measure without and with: memory and processor time with nobody asking, then times under loads."""
    off, on = halves = (Half(brokers, leases, False), Half(brokers, leases, True))
    try:
        if not until(lambda: off.ready() and on.ready(), 30 + 2 * brokers):
            raise RuntimeError("the brokers did not start")
        gevent.sleep(10)  # leases are taken, peers known
        rows = []
        for half in halves:
            cpu = half.cpu(seconds)
            rows.append(
                [
                    "on" if half.on else "off",
                    max(map(memory_mb, half.brokers)),
                    sum(cpu) / len(cpu),
                    max(cpu),
                    sum(e["event"] == "lease_lost" for b in half.brokers for e in b.events()),
                ]
            )
        say(
            tabulate(
                rows,
                floatfmt=".2f",
                headers=["fleet", "memory MB, most", "cpu %, mean", "most", "leases lost"],
            )
        )
        rows = [
            [title, *_paired(halves, load, rounds, 3.0)]
            for title, load in (("light", (2, 0.02)), ("heavy", (12, 0.0)))
        ]
        say(
            tabulate(
                rows,
                floatfmt=".2f",
                headers=[
                    "load",
                    "lookups",
                    "p99 ms off",
                    "on",
                    "on less off: middle",
                    "a quarter under",
                    "and over",
                ],
            )
        )
        told = [(ask(b, "/fleet/tasks") or [{}])[0] for b in on.brokers[:LOADED]]
        step = max(t.get("longest_step_ms", 0) for t in told)
        turn = max(t.get("turn_p99_ms", 0) for t in told)
        say(
            f"{brokers} brokers, {leases} leases; {rounds} rounds of 3 s in turns, load on {LOADED} of them; "
            f"engines take 5 ms; a task's longest step {step} ms, the owner's turns p99 {turn} ms"
        )
    finally:
        off.end()
        on.end()
    return 0
