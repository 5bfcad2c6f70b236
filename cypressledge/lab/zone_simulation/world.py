"""The simulated world: brokers, engines, the messages between them, and virtual time (µs)."""

import random
from collections import Counter, deque
from dataclasses import dataclass, field
from functools import partial
from typing import Any, cast

from cypressledge.broker.requests import Attempt, Endpoint, ListedEngine, Query
from cypressledge.decisions import contract as c
from cypressledge.fleet.leases.lease import HeldLease
from cypressledge.fleet.zones.environment import FleetLinks
from cypressledge.fleet.zones.events import BrokerEvent
from cypressledge.fleet.zones.failover import ZoneFailover, ZoneMessage
from cypressledge.fleet.zones.failover_plan import FailoverPace
from cypressledge.fleet.zones.topology import SiteTopology
from cypressledge.lab.zone_simulation.broker import CLIENT_WAIT, ENGINE_LIST, ModelBroker
from cypressledge.lab.zone_simulation.engine import (
    CORES,
    OVERLOAD_MULTIPLE,
    OVERLOAD_WINDOW,
    SECOND,
    START_CAPACITY,
    STEP,
    WARM_UP_TIME,
    WORK,
    AttemptKey,
    ModelEngine,
)
from cypressledge.lab.zone_simulation.scenario import Scenario

EPOCH = 1_000 * SECOND  # µs; start of virtual time, not 0, since engines with `started_at` 0 are warm
OBJECTIVE = 600_000  # µs; fixed part of a lookup's latency objective
OBJECTIVE_STRETCH = 1.5  # multiple of a lookup's work that is added to its latency objective
LOOKUP = c.ClassSettings(
    OBJECTIVE, CLIENT_WAIT, latency_objective_stretch=OBJECTIVE_STRETCH, late_priority_weight=0.1
)
SUCCESSION = 3 * SECOND  # µs; from the kill of the planner until its successor acts
PLAN_INTERVAL = 100_000
OVERDUE_CHECK_INTERVAL = 100_000
SAMPLE_INTERVAL = 250_000


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """The outcome of an attempt, in transit to the broker."""

    request: int
    number: int
    outcome: c.Outcome


@dataclass(frozen=True, slots=True)
class FleetMessage:
    """A zone failover message from one broker to another."""

    sender: str
    message: ZoneMessage


@dataclass(frozen=True, slots=True)
class Delivery:
    """An item in transit to the broker with number `broker`."""

    broker: int
    item: AttemptResult | FleetMessage


@dataclass(frozen=True, slots=True)
class LoggedEvent:
    """A log event of a broker: its time (virtual µs), name and zones."""

    at: int
    event: str
    zones: list[str]


@dataclass(frozen=True, slots=True)
class Sample:
    """The state of the lost zone at one time, s.

    `share`: the zone's share, mean over the brokers; `load`: used cores as a fraction of the capacity;
    `kept`: the fraction of all requests so far that was answered in time.
    """

    at: float
    share: float
    load: float
    kept: float


@dataclass(slots=True)
class PlayResult:
    """The result of one run."""

    kept: float = 0.0  # percentage of the requests that were answered in time
    last_send: float = 0.0  # s from the loss of the zone to the last send into it
    in_force_after_s: float | None = None  # s from the decision to leave until all brokers have the plan
    departed_after_s: float | None = None  # s from the loss of the zone to the decision to leave it
    recovered_after_s: float | None = None  # s from the restart of the zone until its share is full
    failed_engines: int = 0  # number of engines that failed under overload
    false_departures: int = 0  # number of departures from a healthy zone
    curve: list[Sample] = field(default_factory=list)


class World:
    """The brokers and engines of a run, and the faults. `failover`: whether brokers have zone failover."""

    def __init__(self, scenario: Scenario, failover: bool) -> None:
        seed, brokers = scenario.seed, scenario.brokers
        self.failover = failover
        self.loss = scenario.loss
        self.random = random.Random(seed)
        self.now = EPOCH
        self.counts: Counter[str] = Counter()
        self.zone_names = tuple(f"z{i}" for i in range(scenario.zones))
        self.engines = [ModelEngine(i + 1, i % scenario.zones) for i in range(scenario.engines)]
        self.engine_by_number = {engine.number: engine for engine in self.engines}
        self.endpoints = {
            engine.number: Endpoint(engine.number, f"e{engine.number}", ("", 0), ENGINE_LIST)
            for engine in self.engines
        }
        self.brokers = [
            ModelBroker(self, i, self._settings(i, brokers), seed * 1_000 + i) for i in range(brokers)
        ]
        self.weights = [self.random.uniform(0.4, 2.0) for _ in self.brokers]
        # Requests per second, over all brokers.
        self.rate = scenario.load * scenario.engines * CORES / (WORK / SECOND)
        self.in_transit: list[Delivery] = []  # arrive in the next step
        self.blocked: set[tuple[int, int]] = set()  # failed paths: (broker, zone)
        self.lost_zone: int | None = None
        self.lost_at: int | None = None
        self.back_at: int | None = None
        self.events: list[LoggedEvent] = []
        self.plan_taken_at: dict[int, int] = {}  # broker -> time of the plan that leaves the lost zone
        self.planner = 0
        self.planner_acts_from = 0
        self.token = 1
        self.result = PlayResult()
        for broker in self.brokers:
            self._join(broker)

    @staticmethod
    def _settings(number: int, brokers: int) -> c.Settings:
        """Return the settings of one broker's decision module."""
        return c.Settings(
            classes=(LOOKUP,),
            kind_cores=(CORES,),
            timer_resolution=STEP,
            broker_index=number,
            broker_count=brokers,
            supports_cancel=True,
            max_attempts=3,
            slow_start_capacity=START_CAPACITY,
            slow_start_window=WARM_UP_TIME,
            overload_multiple=OVERLOAD_MULTIPLE,
            overload_window=OVERLOAD_WINDOW,
            retry_budget_ratio=0.1,
            retry_budget_floor=3.0,
            retry_budget_window=5 * SECOND,
        )

    def _join(self, broker: ModelBroker) -> None:
        if self.failover:
            broker.zones = self._make_failover(broker)
        broker.engine_lists[ENGINE_LIST] = [
            ListedEngine(
                c.EngineListEntry(engine.number, c.EngineState.READY, 0, engine.zone, 0, 0),
                self.endpoints[engine.number],
            )
            for engine in self.engines
        ]
        broker.refresh()

    def _make_failover(self, broker: ModelBroker) -> ZoneFailover:
        names = [b.name for b in self.brokers]
        peers = [name for name in names if name != broker.name]
        broker_zones = {name: self.zone_names[i % len(self.zone_names)] for i, name in enumerate(names)}

        links = FleetLinks(
            now=lambda: self.now,
            send=partial(self._send_message, broker),
            living_peers=lambda: [peer for peer in peers if self.brokers[_number(peer)].alive],
            likely_planners=lambda: [f"n{self.planner}"],
            log_event=partial(self._record_event, broker),
        )
        topology = SiteTopology(self.zone_names, broker_zones, {}, {})
        pace = FailoverPace(cold_capacity=START_CAPACITY, warm_up_time=WARM_UP_TIME)
        failover = ZoneFailover(broker.name, broker, topology, pace, links)
        failover.admission.awaiting_plan = False  # broker starts are not modelled
        failover.planner_name = f"n{self.planner}"
        return failover

    def _send_message(self, sender: ModelBroker, peer: str, message: object) -> None:
        """Put a message between brokers in transit, or drop it with the probability of loss."""
        if self.random.random() >= self.loss:
            item = FleetMessage(sender.name, cast(ZoneMessage, message))
            self.in_transit.append(Delivery(_number(peer), item))

    def _record_event(self, broker: ModelBroker, event: str, /, **fields: Any) -> None:
        """Record a broker's log event, and when the broker accepted the plan that leaves the lost zone."""
        zones = fields["zones"] if "zones" in fields else [fields.get("zone", "")]
        self.events.append(LoggedEvent(self.now, event, zones))
        if event == BrokerEvent.PLAN_ACCEPTED and fields["shares"].get(self.lost_zone_name()) == 0:
            self.plan_taken_at.setdefault(broker.number, self.now)

    def lost_zone_name(self) -> str:
        """Return the name of the lost zone, or an empty string if none is lost."""
        return self.zone_names[self.lost_zone] if self.lost_zone is not None else ""

    def engines_in(self, zone: int) -> list[ModelEngine]:
        """Return the engines of a zone."""
        return [engine for engine in self.engines if engine.zone == zone]

    def send(self, broker: ModelBroker, attempt: Attempt) -> None:
        """Send a broker's attempt to the attempt's engine; it is lost if the path is blocked."""
        engine = self.engine_by_number[attempt.endpoint.id]
        if self.lost_at is not None and engine.zone == self.lost_zone and self.back_at is None:
            self.result.last_send = (self.now - self.lost_at) / SECOND
        if (broker.number, engine.zone) in self.blocked:
            return
        request = attempt.request.number
        if not engine.receive(self.now, AttemptKey(broker.number, request, attempt.number)):
            result = AttemptResult(request, attempt.number, c.Outcome.RESET)
            self.in_transit.append(Delivery(broker.number, result))

    def count_arrival(self) -> None:
        """Count a request that a client has sent."""
        self.counts["asked"] += 1

    def count_answer(self, query: Query) -> None:
        """Count an answer to a client as in time or late."""
        arrived = query.deadline - CLIENT_WAIT
        in_time = self.now - arrived <= OBJECTIVE + OBJECTIVE_STRETCH * WORK
        self.counts["kept" if in_time else "late"] += 1

    def fail_zone(self, zone: int, failure: str) -> None:
        """Let all engines of a zone fail; `failure`: silent, reset or slow."""
        self.lost_zone = zone
        self.lost_at = self.now
        for engine in self.engines_in(zone):
            engine.fail(failure)

    def restart_zone(self) -> None:
        """Restart the lost zone's engines, cold."""
        self.back_at = self.now
        for engine in self.engines_in(self.lost_zone or 0):
            engine.failure = ""
            engine.started_at = self.now
            engine.received.clear()
            engine.recent_work = 0.0
            engine.running.clear()

    def kill_planner(self) -> None:
        """Kill the planner; the next broker acts as planner `SUCCESSION` later."""
        self.brokers[self.planner].alive = False
        self.planner += 1
        self.planner_acts_from = self.now + SUCCESSION
        self.token += 1

    def run(self, seconds: float) -> None:
        """Simulate `seconds` of virtual time."""
        for _ in range(round(seconds * SECOND / STEP)):
            self.now += STEP
            self._step()

    def _step(self) -> None:
        self._deliver()
        for engine in self.engines:
            for broker_number, request, number in engine.step(self.now):
                self.brokers[broker_number].end_attempt(request, number, c.Outcome.OK)
        self._arrivals()
        if self.failover and self.now >= self.planner_acts_from and self.now % PLAN_INTERVAL == 0:
            self._plan()
        check_overdue = self.now % OVERDUE_CHECK_INTERVAL == 0
        for broker in self.brokers:
            if broker.alive:
                if check_overdue:
                    broker.drop_overdue(self.now)
                broker.step()
        if self.now % SAMPLE_INTERVAL == 0:
            self._sample()

    def _deliver(self) -> None:
        deliveries, self.in_transit = self.in_transit, []
        for delivery in deliveries:
            broker = self.brokers[delivery.broker]
            item = delivery.item
            if isinstance(item, AttemptResult):
                broker.end_attempt(item.request, item.number, item.outcome)
            elif broker.alive and broker.zones is not None:
                broker.zones.receive(item.sender, item.message)

    def _plan(self) -> None:
        grant = HeldLease("zones", "zones", self.token, self.token, self.now + SECOND)
        planner = self.brokers[self.planner].zones
        if planner is not None:
            deque(planner.act(grant), maxlen=0)  # runs all steps of the planner at once

    def _arrivals(self) -> None:
        mean = self.rate * STEP / SECOND
        count = int(mean) + (self.random.random() < mean - int(mean))
        alive = [broker for broker in self.brokers if broker.alive]
        weights = [self.weights[broker.number] for broker in alive]
        for broker in self.random.choices(alive, weights, k=count):
            broker.receive_request()

    def _sample(self) -> None:
        zone = self.lost_zone or 0
        engines = self.engines_in(zone)
        used = sum(min(len(engine.running), engine.capacity(self.now)) for engine in engines)
        capacity = sum(engine.capacity(self.now) for engine in engines)
        name = self.zone_names[zone]
        shares = [b.zones.follower.share(name) / 1000 for b in self.brokers if b.zones and b.alive]
        share = sum(shares) / len(shares) if shares else 1.0
        kept = self.counts["kept"] / max(1, self.counts["asked"])
        self.result.curve.append(Sample((self.now - EPOCH) / SECOND, share, used / capacity, kept))


def _number(name: str) -> int:
    """Return the number of the broker with this name."""
    return int(name[1:])
