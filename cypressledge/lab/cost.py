"""`lab cost`: memory, processor time and request latency of brokers with `--fleet` and without it.

Starts real brokers on the loopback, half of them without and half with `--fleet`, and puts the same load on
both halves; reads /proc of the processes it started.
"""

import os
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import gevent
from tabulate import tabulate

from cypressledge.lab.demo import ask
from cypressledge.lab.engines import LabEngine
from cypressledge.lab.load import Client
from cypressledge.lab.processes import BrokerProcess, Brokers, until
from cypressledge.lab.site import free_udp_ports
from cypressledge.lab.summary_statistics import mean, quantile

LOADED_BROKERS = 4  # brokers that receive load; the others of a group stay idle
ENGINES = 4
ENGINE_WORK_S = 0.005
MAX_VOTERS = 5
SETTLE_S = 10  # s; time for the brokers to acquire leases and discover their peers
WARM_UP_S = 0.5  # s; load before the first round that counts
ROUND_S = 3.0
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@dataclass(frozen=True, slots=True)
class Load:
    """The number of clients of each loaded broker, and each client's pause between its lookups."""

    name: str
    clients: int
    pause_s: float


LOADS = (Load("light", 2, 0.02), Load("heavy", 12, 0.0))


@dataclass(frozen=True, slots=True)
class PairedRound:
    """Latencies (s) of the lookups in one round: without `--fleet`, then with it."""

    off: list[float]
    on: list[float]


@dataclass(frozen=True, slots=True)
class PairedTimes:
    """Latencies (ms) of the lookups under one load, measured alternately without and with `--fleet`.

    `p99_off`, `p99_on`: medians of the rounds' p99; `added_*`: how much higher the p99 of a round was with
    `--fleet`, as the median and the quartiles of all rounds.
    """

    lookups: int
    p99_off: float
    p99_on: float
    added_median: float
    added_first_quartile: float
    added_third_quartile: float

    @staticmethod
    def of(rounds: list[PairedRound]) -> "PairedTimes":
        """Summarize several rounds."""
        p99_off = [quantile(each.off, 0.99) * 1e3 for each in rounds]
        p99_on = [quantile(each.on, 0.99) * 1e3 for each in rounds]
        added = sorted(on - off for off, on in zip(p99_off, p99_on, strict=True))
        return PairedTimes(
            sum(len(each.off) + len(each.on) for each in rounds),
            quantile(p99_off, 0.5),
            quantile(p99_on, 0.5),
            quantile(added, 0.5),
            added[len(added) // 4],
            added[len(added) * 3 // 4],
        )

    def row(self) -> list[float]:
        """Return the figures in the order of the table's columns."""
        return [
            self.lookups,
            self.p99_off,
            self.p99_on,
            self.added_median,
            self.added_first_quartile,
            self.added_third_quartile,
        ]


def memory_mb(broker: BrokerProcess) -> float:
    """Return the resident memory of a process, MB."""
    text = Path(f"/proc/{broker.pid}/status").read_text()
    return int(next(line for line in text.splitlines() if line.startswith("VmRSS")).split()[1]) / 1024


def cpu_s(broker: BrokerProcess) -> float:
    """Return the processor time (s) of a process since its start."""
    fields = Path(f"/proc/{broker.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def _fleet_settings(names: list[str], leases: int) -> dict:
    ports = free_udp_ports(names)
    voters = min(MAX_VOTERS, len(names) - (len(names) + 1) % 2)  # always odd
    return {
        "peers": [{"name": name, "address": f"127.0.0.1:{port}"} for name, port in ports.items()],
        "voters": [{"version": 1, "names": names[:voters]}],
        "leases": [{"name": f"lease-{i}"} for i in range(leases)] + [{"name": "summary"}],
        "tasks": [{"kind": "summary", "lease": "summary", "every_s": 0.5, "longest_s": 1.0}],
    }


class BrokerGroup:
    """Brokers that all run with `--fleet` or all without it, their fake engines and their clients."""

    def __init__(self, count: int, leases: int, has_fleet: bool) -> None:
        self.has_fleet = has_fleet
        self.greenlets: list[gevent.Greenlet] = []
        self.clients: list[Client] = []
        self.engines = [LabEngine(f"s-{number + 1}", "room1", ENGINE_WORK_S) for number in range(ENGINES)]
        self.processes = Brokers()
        names = [f"n{number}" for number in range(count)]
        settings = _fleet_settings(names, leases)
        members = [engine.member() for engine in self.engines]
        for name in names:
            self.processes.add(name, settings, members).start(has_fleet)
        self.brokers = list(self.processes.all.values())

    def is_ready(self) -> bool:
        """Return whether all brokers listen for clients."""
        return all("listening on" in broker.words() for broker in self.brokers)

    def set_load(self, load: Load) -> None:
        """Create the clients of a load on the first `LOADED_BROKERS` brokers, without starting them."""
        gevent.killall(self.greenlets)
        self.clients = [
            Client([broker.port], load.pause_s, 0)
            for broker in self.brokers[:LOADED_BROKERS]
            for _ in range(load.clients)
        ]

    def run_load(self, seconds: float) -> list[float]:
        """Run the load for `seconds`; return the latencies (s) of its lookups in ascending order."""
        for client in self.clients:
            client.latencies.clear()
        self.greenlets = [gevent.spawn(client.run) for client in self.clients]
        gevent.sleep(seconds)
        gevent.killall(self.greenlets)
        return sorted(latency for client in self.clients for latency in client.latencies)

    def idle_cpu_pct(self, seconds: float) -> list[float]:
        """Return the share of a core (percent) that each broker uses while no client sends requests."""
        before = [cpu_s(broker) for broker in self.brokers]
        began = time.monotonic()
        gevent.sleep(seconds)
        took = time.monotonic() - began
        return [(cpu_s(broker) - was) / took * 100 for broker, was in zip(self.brokers, before, strict=True)]

    def leases_lost(self) -> int:
        """Return how many times a lease was lost, according to the brokers' logs."""
        return sum(event["event"] == "lease_lost" for broker in self.brokers for event in broker.events())

    def end(self) -> None:
        """Stop all clients, brokers and engines."""
        gevent.killall(self.greenlets)
        self.processes.end()
        for engine in self.engines:
            engine.close()


def run(brokers: int, leases: int, seconds: float, rounds: int, echo: Callable[[str], None]) -> int:
    """Measure brokers without and with `--fleet`; return the exit code.

    Memory and processor time are measured while the brokers are idle, then latencies under each load.
    """
    off = BrokerGroup(brokers, leases, False)
    on = BrokerGroup(brokers, leases, True)
    try:
        if not until(lambda: off.is_ready() and on.is_ready(), 30 + 2 * brokers):
            raise RuntimeError("the brokers did not start")
        gevent.sleep(SETTLE_S)
        _print_idle(off, on, seconds, echo)
        _print_loaded(off, on, rounds, echo)
        step_ms, turn_ms = _longest_steps(on)
        echo(
            f"{brokers} brokers, {leases} leases; {rounds} rounds of {ROUND_S:g} s in turns, load on "
            f"{LOADED_BROKERS} of them; engines take 5 ms; a task's longest step {step_ms} ms, "
            f"the owner's turns p99 {turn_ms} ms"
        )
    finally:
        off.end()
        on.end()
    return 0


def _print_idle(off: BrokerGroup, on: BrokerGroup, seconds: float, echo: Callable[[str], None]) -> None:
    rows = []
    for group in (off, on):
        cpu = group.idle_cpu_pct(seconds)
        memory = max(map(memory_mb, group.brokers))
        rows.append(["on" if group.has_fleet else "off", memory, mean(cpu), max(cpu), group.leases_lost()])
    headers = ["fleet", "memory MB, most", "cpu %, mean", "most", "leases lost"]
    echo(tabulate(rows, floatfmt=".2f", headers=headers))


def _print_loaded(off: BrokerGroup, on: BrokerGroup, rounds: int, echo: Callable[[str], None]) -> None:
    rows = [[load.name, *_paired_times(off, on, load, rounds).row()] for load in LOADS]
    headers = ["load", "lookups", "p99 ms off", "on", "on less off: middle", "a quarter under", "and over"]
    echo(tabulate(rows, floatfmt=".2f", headers=headers))


def _paired_times(off: BrokerGroup, on: BrokerGroup, load: Load, rounds: int) -> PairedTimes:
    """Load both groups alternately, so that changes in the speed of the machine affect both equally."""
    for group in (off, on):
        group.set_load(load)
        group.run_load(WARM_UP_S)
    return PairedTimes.of([PairedRound(off.run_load(ROUND_S), on.run_load(ROUND_S)) for _ in range(rounds)])


def _longest_steps(on: BrokerGroup) -> tuple[float, float]:
    """Return the longest step of a fleet task and the p99 of the turns of the fleet node, ms."""
    tasks = [(ask(broker, "/fleet/tasks") or [{}])[0] for broker in on.brokers[:LOADED_BROKERS]]
    longest_step = max(task.get("longest_step_ms", 0) for task in tasks)
    return longest_step, max(task.get("turn_p99_ms", 0) for task in tasks)
