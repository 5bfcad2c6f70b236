"""Processes of simulated brokers, as the harness drives them."""

import sys
from collections import Counter
from pathlib import Path

import gevent
import msgspec
from gevent import subprocess

from cypressledge.lab.capacity.process_cost import ProcessCost
from cypressledge.lab.processes import ROOT
from cypressledge.lab.simulated_broker_messages import BrokerKilled, BrokerStarted, Command, Report


class SimulatedBrokerHost:
    """A process of simulated brokers (`lab/simulated_broker.py`), and what it has reported."""

    def __init__(self, number: int, folder: Path) -> None:
        self.number = number
        self.cost = ProcessCost()
        self.late: list[float] = []  # s of wake-ups that came late
        self.started: dict[str, int] = {}  # by broker: its run
        self.killed: dict[tuple[str, int], int] = {}  # by broker and run: when, µs
        self.counts: Counter[str] = Counter()
        self.fewest_alive = 0  # the fewest others that any broker here has for alive
        self.leases_held = 0
        with open(folder / f"host{number}.log", "a", encoding="utf-8") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-O", "-m", "cypressledge.lab.simulated_broker"],
                cwd=ROOT,
                stdout=subprocess.PIPE,
                stderr=log,
                stdin=subprocess.PIPE,
                start_new_session=True,
            )
        self.reader = gevent.spawn(self._read)

    def send(self, command: Command) -> None:
        """Send one command. Raises `OSError` where the host is gone."""
        self.process.stdin.write(msgspec.json.encode(command) + b"\n")
        self.process.stdin.flush()

    def _read(self) -> None:
        decoder = msgspec.json.Decoder(Report)
        for line in self.process.stdout:
            self._take(decoder.decode(line))

    def _take(self, report: Report) -> None:
        if isinstance(report, BrokerStarted):
            self.started[report.broker] = report.run
        elif isinstance(report, BrokerKilled):
            self.killed[report.broker, report.run] = report.at
        else:
            self.late.append(report.late)
            self.counts = Counter(report.counts)
            self.cost.add_total(report.bytes)
            self.fewest_alive = report.members.fewest_alive
            self.leases_held = report.members.leases_held

    def end(self) -> None:
        """Kill the process, and its brokers with it."""
        if self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        self.reader.kill()
