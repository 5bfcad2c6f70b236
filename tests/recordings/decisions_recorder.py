"""Seeded closed-loop streams of events through the decisions, and a digest of every action they answer with.

A deterministic stand-in of a fleet answers what the decisions send: outcomes, latencies, notes and load
reports are drawn from a seeded generator, so a stream depends on the scenario and on the actions alone. The
digest holds fixed action codes and raw values, never the names of classes, fields, reasons or log texts: a
rename leaves it as it is.
"""

import hashlib
import heapq
import random
from dataclasses import dataclass, field
from itertools import count

from cypressledge.decisions.contract import Settings
from cypressledge.decisions.manager import WorkloadManager
from tests.recordings.decisions_codes import (
    CANCELLED,
    CONNECT_FAILED,
    ERROR,
    FULL,
    NOT_SENT,
    OK,
    READY,
    REMOVED,
    RESET,
    TIMEOUT,
    AttemptResult,
    attempt_ended,
    client_left,
    delta_list,
    full_list,
    list_failed,
    probed,
    progress_note,
    raw_values,
    request_received,
    spill_note,
    stopping,
    timer_fired,
    waits_note,
)

SECOND = 1_000_000  # microseconds
TICK = 5_000  # microseconds; events of one tick are told together
START = 1_700_000_000 * SECOND
REPEATED_KEYS = 40  # distinct ordering keys that a stream draws from


@dataclass(slots=True)
class Traffic:
    """Requests of one class: how many a second, their mean work, memory and groups."""

    rate: float
    work: int  # microseconds of work, mean
    memory: float = 0.0  # MB, mean
    groups: int = 8
    keyed: bool = False
    hinted: bool = True  # whether the request carries an estimate of its cost


@dataclass(slots=True)
class Fault:
    """Engines that misbehave for a while: from, until (seconds after the start), which, how."""

    since: float
    until: float
    engines: tuple[int, ...]
    kind: str  # silent, errors, resets, refuses, full, slow


@dataclass(slots=True)
class Change:
    """A change of the engine list at a moment: engines that get a state, or are replaced by a new process."""

    at: float
    engines: tuple[int, ...]
    state: int = READY
    replaced: bool = False


@dataclass(slots=True)
class Scenario:
    """Settings, fleet and traffic of one recording."""

    settings: Settings
    traffic: tuple[Traffic, ...]
    events: int
    seed: int
    engines: int = 12
    faults: tuple[Fault, ...] = ()
    changes: tuple[Change, ...] = ()
    error_share: float = 0.01
    reset_share: float = 0.002
    lost_share: float = 0.0
    leaving_share: float = 0.02
    rejected_from: float = 4.0  # threads a core in flight from which an engine rejects
    patience: float = 1.0  # multiple of the class's deadline that a client waits
    stops: bool = False
    reconfigured: Settings | None = None
    failed_lists: bool = False
    unlisted: tuple[int, ...] = ()  # engines that lists after the first leave out


@dataclass(slots=True)
class FakeEngine:
    """One engine of the stand-in: its list entry and what runs on it."""

    number: int
    kind: int
    zone: int
    cell: int
    born: int
    cores: int
    state: int = READY
    running: dict[int, int] = field(default_factory=dict)  # request: threads
    loads: dict[int, int] = field(default_factory=dict)  # group: loads that run


@dataclass(slots=True)
class FakeRequest:
    """What the stand-in knows of one request."""

    class_index: int
    work: int
    memory: float
    group: int
    deadline: int
    attempt: int = -1
    engine: FakeEngine | None = None
    sent_at: int = 0
    ends_at: int = 0
    answered: bool = False


class ClosedLoop:
    """One scenario in virtual time: events go in, actions are answered and hashed."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.manager = WorkloadManager(scenario.settings, scenario.seed)
        self.rng = random.Random(scenario.seed * 7919 + 1)
        self.queue: list[tuple] = []
        self.numbers, self.order = count(1), count()
        self.requests: dict[int, FakeRequest] = {}
        self.engines = {n: self.new_engine(n) for n in range(1, scenario.engines + 1)}
        self.digest = hashlib.sha256()
        self.told = self.actions = 0

    def new_engine(self, number: int) -> FakeEngine:
        cores = self.scenario.settings.kind_cores
        kind = number % len(cores)
        born = 0 if number % 5 else START - 3 * SECOND
        return FakeEngine(number, kind, number % 2, number % 4, born, cores[kind])

    def at(self, moment: int, step, *arguments) -> None:
        heapq.heappush(self.queue, (moment, next(self.order), step, arguments))

    def run(self) -> str:
        """Play the scenario to its number of events; the digest of all actions."""
        for change in self.scenario.changes:
            self.at(START + int(change.at * SECOND), self.change, change)
        for class_index in range(len(self.scenario.traffic)):
            self.at(START + TICK, self.arrive, class_index)
        self.tell(START, [full_list(self.engines.values())])
        middle = self.scenario.events // 2
        while self.told < self.scenario.events:
            now = -(-self.queue[0][0] // TICK) * TICK
            events: list = []
            while self.queue and self.queue[0][0] <= now:
                _, _, step, arguments = heapq.heappop(self.queue)
                events += step(now, *arguments)
            if self.scenario.reconfigured and self.told >= middle:
                self.manager.configure(self.scenario.reconfigured)
                middle = self.scenario.events
            if events:
                self.tell(now, events)
        if self.scenario.stops:
            self.tell(now + TICK, [stopping()])
        return self.digest.hexdigest()

    def tell(self, now: int, events: list) -> None:
        actions = self.manager.handle(now, events)
        self.told += len(events)
        self.actions += len(actions)
        values = [raw_values(action) for action in actions]
        self.digest.update(repr((now - START, values)).encode())
        for value in values:
            self.answer(now, *value)

    # What happens outside: each step returns the events it makes.

    def arrive(self, now: int, class_index: int) -> list:
        traffic, rng = self.scenario.traffic[class_index], self.rng
        self.at(now + int(rng.expovariate(traffic.rate) * SECOND), self.arrive, class_index)
        number = next(self.numbers)
        spec = self.scenario.settings.classes[class_index]
        work = int(traffic.work * rng.lognormvariate(-0.3, 0.8)) + 1
        memory = traffic.memory * rng.lognormvariate(-0.2, 0.6) if traffic.memory else 0.0
        group = rng.randrange(traffic.groups)
        deadline = now + int(spec.deadline * self.scenario.patience)
        key = rng.randrange(1, REPEATED_KEYS) if traffic.keyed else 0
        cost = int(work * rng.uniform(0.5, 1.6)) if traffic.hinted else 0
        self.requests[number] = FakeRequest(class_index, work, memory, group, deadline)
        if rng.random() < self.scenario.leaving_share:
            self.at(now + int(rng.uniform(0, 2) * spec.latency_objective), self.leave, number)
        return [
            request_received(number, class_index, deadline, key, cost, memory * rng.uniform(0.6, 1.4), group)
        ]

    def leave(self, now: int, number: int) -> list:
        return [client_left(number)]

    def alarm(self, now: int, token: int) -> list:
        return [timer_fired(token)]

    def relist(self, now: int) -> list:
        """The answer to a subscription: the list anew, or that it failed."""
        if self.rng.random() < 0.3:
            return [list_failed()]
        unlisted = [self.engines.pop(n) for n in self.scenario.unlisted if n in self.engines]
        ended = [event for engine in unlisted for event in self.end_all(now, engine)]
        return [full_list(self.engines.values()), probed(1), *ended]

    def change(self, now: int, change: Change) -> list:
        changed = []
        for number in change.engines:
            engine = self.engines.get(number) or self.new_engine(number)
            self.engines[number] = engine
            engine.state = change.state
            if change.replaced:
                engine.born = now
            changed.append(engine)
        news = [delta_list(changed)]
        for engine in changed:
            if change.state == REMOVED or change.replaced:
                news += self.end_all(now, engine)
        for number in change.engines:
            if change.state == REMOVED:
                del self.engines[number]
        return news

    def end_all(self, now: int, engine: FakeEngine) -> list:
        return [
            event
            for number in list(engine.running)
            for event in self.end(now, number, self.requests[number].attempt, RESET)
        ]

    def note(self, now: int, number: int, attempt: int) -> list:
        """A note each interval while the attempt runs, and is not lost or on a silent engine."""
        request = self.requests[number]
        if (
            request.attempt != attempt
            or request.engine is None
            or self.fault(now, request.engine) == "silent"
        ):
            return []
        self.at(now + self.scenario.settings.progress_interval, self.note, number, attempt)
        engine = request.engine
        spec = self.scenario.settings.classes[request.class_index]
        if spec.blocked_by_loads and engine.loads.get(request.group, 0):
            return [waits_note(number, attempt, engine.number, self.rng.choice((1.0, 2.0)))]
        if self.rng.random() < 0.05:
            return [spill_note(number, attempt, engine.number, self.rng.uniform(1, 50))]
        done = (now - request.sent_at) / max(request.ends_at - request.sent_at, 1)
        return [progress_note(number, attempt, engine.number, min(done * self.rng.uniform(0.3, 1.1), 1.0))]

    def end(self, now: int, number: int, attempt: int, outcome) -> list:
        """The attempt ends, unless it has ended before."""
        request = self.requests[number]
        engine = request.engine
        if engine is None or request.attempt != attempt:
            return []
        request.engine = None
        del engine.running[number]
        spec = self.scenario.settings.classes[request.class_index]
        if spec.is_load:
            engine.loads[request.group] -= 1
        latency = now - request.sent_at
        final = outcome is OK or outcome is ERROR and self.rng.random() < 0.2
        result = AttemptResult(outcome, final, latency)
        if outcome is OK:
            result.work = request.work if self.scenario.settings.reports_cost else 0
            result.memory = request.memory
            result.report = self.report(engine)
        return [attempt_ended(number, attempt, engine.number, result)]

    def report(self, engine: FakeEngine) -> tuple:
        threads = sum(engine.running.values()) + self.rng.randrange(6)
        figures = {
            "util": min(threads / engine.cores, 1.0),
            "queue": float(max(threads - engine.cores, 0)),
            "inflight": float(threads),
        }
        return tuple(figures[name] for name in self.scenario.settings.load_report_fields)

    def fault(self, now: int, engine: FakeEngine) -> str:
        after = (now - START) / SECOND
        for fault in self.scenario.faults:
            if fault.since <= after < fault.until and engine.number in fault.engines:
                return fault.kind
        return ""

    # What is done about each action.

    def answer(self, now: int, code: int, *values) -> None:
        if code == 0:
            self.start(now, values[0], self.engines.get(values[1]))
        elif code == 2:
            self.at(now + TICK + self.rng.randrange(2 * TICK), self.end, values[0], values[1], CANCELLED)
        elif code == 5:
            self.at(now + values[0], self.alarm, values[1])
        elif code == 6:
            self.at(now + 200_000, self.relist)
            if self.scenario.failed_lists:
                self.at(now + 3 * SECOND, self.relist)

    def start(self, now: int, number: int, engine: FakeEngine | None) -> None:
        """An attempt begins on an engine: draw how it goes and when it ends."""
        request, rng = self.requests[number], self.rng
        request.attempt += 1
        assert engine is not None, "an attempt went to an engine that is not listed"
        spec = self.scenario.settings.classes[request.class_index]
        request.engine, request.sent_at = engine, now
        engine.running[number] = spec.threads
        if spec.is_load:
            engine.loads[request.group] = engine.loads.get(request.group, 0) + 1
        outcome, span = self.fate(now, request, engine)
        request.ends_at = now + max(span, 1)
        deadline = max(request.deadline, now + 1)
        if outcome is None or request.ends_at > deadline:
            outcome, request.ends_at = TIMEOUT, deadline
        self.at(request.ends_at, self.end, number, request.attempt, outcome)
        if self.scenario.settings.progress_interval and rng.random() >= self.scenario.lost_share:
            self.at(
                now + rng.randrange(self.scenario.settings.progress_interval),
                self.note,
                number,
                request.attempt,
            )

    def fate(self, now: int, request: FakeRequest, engine: FakeEngine) -> tuple:
        """Outcome and span of an attempt; no outcome: it runs until its deadline."""
        rng, fault = self.rng, self.fault(now, engine)
        threads = sum(engine.running.values())
        spec = self.scenario.settings.classes[request.class_index]
        span = int(request.work / spec.threads * max(threads / engine.cores, 1.0) * rng.uniform(0.8, 1.3))
        if spec.blocked_by_loads and engine.loads.get(request.group, 0):
            span += 2 * SECOND
        if fault == "refuses":
            return CONNECT_FAILED, rng.randrange(3_000)
        if fault == "silent" or self.scenario.lost_share and rng.random() < self.scenario.lost_share:
            return None, 0
        if fault == "full" or threads > self.scenario.rejected_from * engine.cores:
            return FULL, rng.randrange(1_000, 8_000)
        draw = rng.random()
        if fault == "errors" and draw < 0.8 or draw < self.scenario.error_share:
            return ERROR, rng.randrange(1_000, 20_000)
        if fault == "resets" and draw < 0.7 or draw < self.scenario.error_share + self.scenario.reset_share:
            return RESET, rng.randrange(span + 1)
        if draw > 0.999:
            return NOT_SENT, 0
        return OK, span * (6 if fault == "slow" else 1)


def record(scenario: Scenario) -> dict:
    """The digest of a scenario's actions, with how many events and actions there were."""
    loop = ClosedLoop(scenario)
    digest = loop.run()
    return {"events": loop.told, "actions": loop.actions, "sha256": digest}
