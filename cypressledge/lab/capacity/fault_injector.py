"""Injects the faults of a capacity run's day, and records the spans in which they last."""

import math
import random
import signal
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

import gevent

from cypressledge.lab.capacity.checks import LeaderLoss, Span
from cypressledge.lab.capacity.day import Event, FaultKind
from cypressledge.lab.capacity.event_records import boottime_us, current_leader, read_tail
from cypressledge.lab.capacity.fleet import CapacityFleet

SETTLE_S = 2.5  # s; after a fault is repaired, until times count as quiet again
KILLED_SHARE = 0.04  # share of the simulated brokers killed at a time
LEADER_POLL_S = 0.1  # s; between polls for a leader
LEADER_POLLS = 100  # polls for a leader until a fault continues without one
MINORITY_REGION = "west"  # the region with a minority of the voters
SILENT_CUT_SHARE = 0.6  # share of cuts that drop data silently; the others reset connections


class Kill(NamedTuple):
    """A broker that was killed at `at`, µs."""

    broker: str
    at: int


@dataclass(slots=True)
class FaultInjector:
    """Injects faults into a fleet, and records their spans, the leaders lost and the brokers killed."""

    fleet: CapacityFleet
    random: random.Random
    down: list[Span] = field(default_factory=list)
    spans: list[Span] = field(default_factory=list)
    losses: list[LeaderLoss] = field(default_factory=list)
    kills: list[Kill] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)

    def play(self, event: Event) -> None:
        """Inject one fault, wait for its duration and repair it."""
        began = boottime_us()
        self.counts[event.kind] += 1
        self._handlers()[event.kind](event)
        self.spans.append(Span(began, boottime_us() + round(SETTLE_S * 1e6), event.kind))

    def _handlers(self) -> Mapping[str, Callable[[Event], None]]:
        return {
            FaultKind.LEADER_KILLED: self._kill_leader,
            FaultKind.LEADER_STOPPED: self._stop_leader,
            FaultKind.CONTROLS_RESTARTED: self._restart_all_controls,
            FaultKind.BROKERS_KILLED: self._kill_brokers,
            FaultKind.BROKERS_REPLACED: self._replace_brokers,
            FaultKind.ZONE_KILLED: self._kill_zone,
            FaultKind.REGIONS_CUT: self._cut_regions,
        }

    def leader(self) -> str:
        """Return the current leader according to the control processes' records; empty if there is none."""
        records = [control.record for control in self.fleet.controls if control.record.exists()]
        return current_leader(record for path in records for record in read_tail(path))

    def _await_leader(self) -> str:
        for _ in range(LEADER_POLLS):
            name = self.leader()
            control = self.fleet.control_by_name.get(name)
            if control is not None and control.responsive():
                return name
            gevent.sleep(LEADER_POLL_S)
        return ""

    def _record_leader_loss(self, who: str, kind: str) -> None:
        self.losses.append(LeaderLoss(boottime_us(), who, kind))

    def _kill(self, names: list[str]) -> None:
        self.fleet.kill_brokers(names)
        at = boottime_us()
        self.kills += [Kill(name, at) for name in names]

    # Handlers of the kinds of faults

    def _kill_leader(self, event: Event) -> None:
        if name := self._await_leader():
            self._record_leader_loss(name, event.kind)
            self.fleet.control_by_name[name].kill()
            gevent.sleep(event.span)
            self.fleet.control_by_name[name].start()

    def _stop_leader(self, event: Event) -> None:
        if name := self._await_leader():
            self._record_leader_loss(name, event.kind)
            self.fleet.control_by_name[name].signal(signal.SIGSTOP)
            gevent.sleep(event.span)
            self.fleet.control_by_name[name].signal(signal.SIGCONT)

    def _restart_all_controls(self, event: Event) -> None:
        began = boottime_us()
        for control in self.fleet.controls:
            control.kill()
        self.losses.append(LeaderLoss(began, "", event.kind, boottime_us()))
        gevent.sleep(event.span)
        for control in self.fleet.controls:
            control.start()

    def _some_brokers(self) -> list[str]:
        """Return a random few of the simulated brokers, and a real one if there is any."""
        simulated = [name for name, broker in self.fleet.brokers.items() if broker.host]
        real = [name for name, broker in self.fleet.brokers.items() if not broker.host]
        some_simulated = self.random.sample(simulated, math.ceil(KILLED_SHARE * len(simulated)))
        return some_simulated + self.random.sample(real, min(1, len(real)))

    def _kill_brokers(self, event: Event) -> None:
        names = self._some_brokers()
        self._kill(names)
        gevent.sleep(event.span)
        self.fleet.start_brokers(names)

    def _replace_brokers(self, event: Event) -> None:
        names = self._some_brokers()
        self._kill(names)
        for name in names:
            self.fleet.assign_new_address(name)
        gevent.sleep(event.span)
        self.fleet.start_brokers(names)

    def _kill_zone(self, event: Event) -> None:
        """Kill the brokers and control processes of one zone; no zone has a majority of the voters."""
        zone = sorted({control.zone for control in self.fleet.controls})[int(event.pick * 3) % 3]
        controls = [control for control in self.fleet.controls if control.zone == zone]
        leader = self._await_leader()
        if leader in {control.name for control in controls}:
            self._record_leader_loss(leader, event.kind)
        for control in controls:
            control.kill()
        names = [name for name, broker in self.fleet.brokers.items() if broker.zone == zone]
        self._kill(names)
        gevent.sleep(event.span)
        for control in controls:
            control.start()
        self.fleet.start_brokers(names)

    def _cut_regions(self, event: Event) -> None:
        """Cut the regions from each other until the span ends.

        Until the heal the region with a minority of the voters gets no changes.
        """
        leader = self._await_leader()
        began = boottime_us()
        if leader and self.fleet.control_by_name[leader].region == MINORITY_REGION:
            self._record_leader_loss(leader, event.kind)
        self.fleet.cut("silent" if event.pick < SILENT_CUT_SHARE else "reset")
        gevent.sleep(event.span)
        self.fleet.heal()
        self.down += [
            Span(began, boottime_us(), event.kind, name)
            for name, broker in self.fleet.brokers.items()
            if broker.region == MINORITY_REGION
        ]
