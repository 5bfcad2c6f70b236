"""One capacity run: starts a fleet, plays a day of changes and faults, and checks the recorded events."""

import random
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import gevent

from cypressledge.lab.capacity import checks
from cypressledge.lab.capacity.control_process import call_management
from cypressledge.lab.capacity.day import Day, draw_day, draw_day_without_faults
from cypressledge.lab.capacity.event_records import boottime_us, read_tail
from cypressledge.lab.capacity.fault_injector import FaultInjector
from cypressledge.lab.capacity.fleet import (
    CONTROL_TERM_S,
    CapacityFleet,
    CapacityRunError,
    FleetSize,
    engine_value,
    unused_address,
)
from cypressledge.lab.capacity.machine_load import MachineLoad
from cypressledge.lab.capacity.observations import harness_observations, write_observations
from cypressledge.lab.capacity.process_cost import Usage
from cypressledge.lab.capacity.run_figures import run_figures
from cypressledge.lab.capacity.simulated_operator import ChangeStatus, SimulatedOperator
from cypressledge.lab.processes import commit, until

CHANGE_INTERVAL_S = 0.7  # s; mean time between changes
INTERVAL_WITHOUT_FAULTS_S = 5.0  # s; in runs without faults: 38 times the target's rate of 450 changes a day
WATCH_INTERVAL_S = 1.0  # s; between samples of the processes
POLL_INTERVAL_S = 0.5  # s; while waiting for brokers to apply a version
STATUS_TIMEOUT_S = 0.5  # s; of a status request
SETTLE_S = 4.0  # s; between the start and the day
END_S = 12.0  # s; after the day, for the last changes to be applied


@dataclass
class CapacityRun:
    """One run at one size, with its verdict and figures."""

    size: FleetSize
    seconds: float
    seed: int
    folder: Path
    live: bool = False  # show progress on standard error
    without_faults: bool = False
    verdict: checks.Verdict = field(default_factory=checks.Verdict)
    figures: dict[str, Any] = field(default_factory=dict)  # for the results file
    broken: list[str] = field(default_factory=list)  # messages, each of which makes the run fail
    machine: MachineLoad = field(default_factory=MachineLoad)
    start_s: float = 0.0
    commit: str = ""
    served: int = 0  # lookups answered by real brokers
    unserved: int = 0  # lookups that real brokers rejected or did not answer
    simulated_usage: Usage = field(default_factory=Usage)
    real_usage: Usage = field(default_factory=Usage)

    def play(self) -> "CapacityRun":
        """Start the fleet, play the day, end the fleet and check the records; return this run.

        Raises `CapacityRunError` if the run can't continue.
        """
        self.machine.begin()
        self.commit = commit()
        self.fleet = CapacityFleet(self.size, self.seed, self.folder)
        self.greenlets = [gevent.spawn(self.machine.measure_lateness)]
        try:
            began = time.monotonic()
            self.fleet.start()
            self._await_first_change()
            self.start_s = time.monotonic() - began
            self.greenlets.append(gevent.spawn(self._watch))
            gevent.sleep(SETTLE_S)
            self._play_day(self._draw_day())
            self._await_last_change()
        finally:
            gevent.killall(self.greenlets)
            self.end_us = boottime_us()
            self._count_lookups()
            self.fleet.end()
        self._judge()
        return self

    def _draw_day(self) -> Day:
        if self.without_faults:
            return draw_day_without_faults(self.seed, self.seconds, INTERVAL_WITHOUT_FAULTS_S)
        return draw_day(self.seed, self.seconds, CONTROL_TERM_S, CHANGE_INTERVAL_S)

    def _await_first_change(self) -> None:
        """Request a first change and wait until every broker has applied it."""
        self.operator = SimulatedOperator(self.fleet, self.seed)
        self.faults = FaultInjector(self.fleet, random.Random(self.seed + 1))
        spare_engine = engine_value(unused_address(999), "za")
        first = self.operator.request_change({"set": {"engine/e999": spare_engine}}, None)
        if first.status is not ChangeStatus.ACKNOWLEDGED:
            raise CapacityRunError(f"the first change was not acknowledged: {first}")
        names = list(self.fleet.brokers)
        timeout_s = 30 + len(names) / 5
        if not until(
            lambda: self._count_applied(names, first.version) == len(names), timeout_s, POLL_INTERVAL_S
        ):
            raise CapacityRunError(
                f"{self._count_applied(names, first.version)} of {len(names)} brokers "
                "applied the first change"
            )

    def _count_applied(self, names: list[str], version: int) -> int:
        """Return how many of the brokers have applied this version or a newer one."""
        return sum(_last_version(self.fleet.record(name)) >= version for name in names)

    # The day and the sampling during it

    def _play_day(self, day: Day) -> None:
        began = time.monotonic()
        changes = [gevent.spawn_later(event.at, self.operator.play, event) for event in day.changes]
        for event in day.faults:
            gevent.sleep(max(0.0, began + event.at - time.monotonic()))
            self._show_progress(f"{event.at:5.1f} s: {event.kind}")
            if excess := self.machine.excess():
                raise CapacityRunError(f"the run exceeds its bounds on the machine: {excess}")
            self.faults.play(event)
        gevent.sleep(max(0.0, began + day.seconds - time.monotonic()))
        gevent.joinall(changes, timeout=END_S)
        for change in changes:
            if change.exception is not None:
                self.broken.append(f"the harness failed: {change.exception!r}")
        gevent.killall(changes)

    def _await_last_change(self) -> None:
        """Wait until all running brokers have applied the newest acknowledged change, or until a timeout.

        A broker that has not applied it by then has lost it.
        """
        newest = max((change.version for change in self.operator.acknowledged), default=0)
        names = [name for name, broker in self.fleet.brokers.items() if broker.up]
        until(lambda: self._count_applied(names, newest) == len(names), END_S, POLL_INTERVAL_S)

    def _watch(self) -> None:
        """Sample the processes periodically, without end."""
        while True:
            self.fleet.sample()
            self.machine.sample(self.fleet.processes(), self.fleet.memory_mb())
            self._sample_traffic()
            gevent.sleep(WATCH_INTERVAL_S)

    def _sample_traffic(self) -> None:
        """Read the traffic that control processes and real brokers report of themselves."""
        for control in self.fleet.controls:
            if control.responsive() and (status := control.status(STATUS_TIMEOUT_S)):
                control.cost.add_total(_total_bytes(status))
        for name, broker in self.fleet.real_brokers.all.items():
            if broker.running() and (status := _broker_status(broker.management)):
                self.fleet.real_costs[name].add_total(_total_bytes(status))

    def _count_lookups(self) -> None:
        clients = self.fleet.clients
        self.served = sum(client.counts["served"] for client in clients)
        self.unserved = sum(client.counts["rejected"] + client.counts["broken"] for client in clients)

    def _show_progress(self, text: str) -> None:
        if self.live:
            changes = len(self.operator.acknowledged)
            sys.stderr.write(f"\r\x1b[K{self.size.brokers} brokers: {text}, {changes} changes")
            sys.stderr.flush()

    # Checks after the run

    def _judge(self) -> None:
        fleet, folder = self.fleet, self.folder
        brokers = checks.read_records(sorted(folder.glob("*.broker.jsonl")))
        controls = checks.read_records(sorted(folder.glob("*.control.jsonl")))
        killed = {broker_run: at for host in fleet.hosts for broker_run, at in host.killed.items()}
        observed = harness_observations(
            self.operator, self.faults, brokers, controls, frozenset(fleet.brokers), self.end_us, killed
        )
        write_observations(folder / "seen.json", observed)
        self.verdict = checks.check(brokers, controls, observed)
        self.simulated_usage = Usage.largest(
            host.cost.usage(shared_by=count) for host in fleet.hosts if (count := fleet.hosted_by(host))
        )
        self.real_usage = Usage.largest(cost.usage() for cost in fleet.real_costs.values())
        self.figures = run_figures(self)
        usage = Usage.largest((self.simulated_usage, self.real_usage))
        self.broken += [
            f"too little activity: {why}"
            for why in checks.insufficient_activity(
                self.verdict, observed, self.size.brokers, self.seconds, self.without_faults
            )
        ]
        exceeded = checks.exceeded_limits(self.verdict, usage.cpu_pct, usage.net_kb_s, usage.rss_mb)
        self.broken += [f"limit exceeded: {why}" for why in exceeded]
        if excess := self.machine.excess():
            self.broken.append(f"limit exceeded: {excess}")

    @property
    def failed(self) -> bool:
        """Whether a check failed, so that the command exits with 1."""
        return self.verdict.broken or bool(self.broken)


def _last_version(path: Path) -> int:
    """Return the version that a broker applied last according to its records; 0 for none."""
    if not path.exists():
        return 0
    versions = [record["version"] for record in read_tail(path) if record["event"] == "in_force"]
    return versions[-1] if versions else 0


def _broker_status(port: int) -> dict:
    """Return a real broker's status of the control plane; empty if it does not answer."""
    try:
        return call_management(port, "GET", "/control/status", seconds=STATUS_TIMEOUT_S).body
    except (OSError, ValueError, IndexError):
        return {}


def _total_bytes(status: dict) -> int:
    """Return the bytes of all kinds of traffic in a status, received and sent."""
    return sum(kind["bytes"] for kind in status.get("traffic", {}).values())
