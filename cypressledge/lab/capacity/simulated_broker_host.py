"""Control of the processes that run simulated brokers."""

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
    """A process that runs simulated brokers (`lab/simulated_broker.py`), and the contents of its reports."""

    def __init__(self, number: int, folder: Path) -> None:
        self.number = number
        self.cost = ProcessCost()
        self.late: list[float] = []  # s; delays of late wake-ups
        self.started: dict[str, int] = {}  # identifier of the last run, by broker
        self.killed: dict[tuple[str, int], int] = {}  # time of the kill, µs, by broker and run
        self.counts: Counter[str] = Counter()
        self.fewest_alive = 0  # minimum number of others that a broker of this host considers alive
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
        """Send one command to the process. Raises `OSError` if it has exited."""
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
        """Kill the process together with its simulated brokers."""
        if self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        self.reader.kill()
