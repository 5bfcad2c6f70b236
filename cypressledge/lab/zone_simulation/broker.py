"""A modelled broker: the production decision module, a small request ledger, and what zone failover uses."""

from collections.abc import Callable
from dataclasses import replace
from typing import Protocol, cast

from cypressledge.broker.request_ledger import DEADLINE_GRACE_US
from cypressledge.broker.requests import (
    Attempt,
    AttemptObserver,
    Endpoint,
    ListedEngine,
    Query,
    ReplyHandler,
    Request,
)
from cypressledge.decisions import contract as c
from cypressledge.decisions.manager import WorkloadManager
from cypressledge.fleet.zones.failover import ZoneFailover
from cypressledge.lab.zone_simulation.engine import SECOND, WORK

CLIENT_WAIT = 3 * SECOND  # µs; how long a client waits for an answer
ENGINE_LIST = "model"  # the name of the one engine list
NO_REPLY = cast(ReplyHandler, None)  # the world counts answers instead


class BrokerWorld(Protocol):
    """The part of the simulated world that a broker uses. `now`: virtual µs."""

    now: int
    endpoints: dict[int, Endpoint]

    def send(self, broker: "ModelBroker", attempt: Attempt) -> None:
        """Send a broker's attempt to the attempt's engine."""

    def count_arrival(self) -> None:
        """Count a request that a client has sent."""

    def count_answer(self, query: Query) -> None:
        """Count an answer to a client as in time or late."""


class ModelBroker:
    """A broker, with the parts of the broker core that zone failover uses."""

    def __init__(self, world: BrokerWorld, number: int, settings: c.Settings, seed: int) -> None:
        self.world = world
        self.number = number
        self.name = f"n{number}"
        self.settings = settings
        self.manager = WorkloadManager(settings, seed)
        self.requests: dict[int, Request] = {}
        self.engine_lists: dict[str, list[ListedEngine]] = {}
        self.observer: AttemptObserver | None = None
        self.is_closed: Callable[[c.EngineListEntry], bool] | None = None
        self.admission_filter: Callable[[Query], bool] | None = None
        self.events: list[c.Event] = []
        self.timers: list[tuple[int, int]] = []  # firing time and token of each
        self.last_request = 0
        self.zones: ZoneFailover | None = None
        self.alive = True

    @property
    def ledger(self) -> "ModelBroker":
        """The request ledger: this object replaces all parts of the core."""
        return self

    @property
    def engines(self) -> "ModelBroker":
        """The holder of the engine lists."""
        return self

    @property
    def loop(self) -> "ModelBroker":
        """The event loop, which runs the decision module."""
        return self

    def now(self) -> int:
        """Return the decision module's time, virtual µs."""
        return self.world.now

    def refresh(self) -> None:
        """Send the decision module the full engine list again, with closed engines listed as draining."""
        entries = tuple(self._module_entry(engine.entry) for engine in self.engine_lists[ENGINE_LIST])
        self.events.append(c.EngineListReceived(c.EngineListKind.FULL, entries))

    def _module_entry(self, entry: c.EngineListEntry) -> c.EngineListEntry:
        if self.is_closed is None or not self.is_closed(entry):
            return entry
        return replace(entry, state=c.EngineState.DRAINING)

    def receive_request(self) -> None:
        """Receive one request from a client, and drop it if the admission filter rejects it."""
        self.last_request += 1
        number = self.last_request
        deadline = self.world.now + CLIENT_WAIT
        query = Query(f"{self.name}.{number}", 0, "lookup", "sahel", b"", deadline, cost=WORK)
        self.world.count_arrival()
        if self.admission_filter is not None and not self.admission_filter(query):
            return
        self.requests[number] = Request(number, query, NO_REPLY)
        self.events.append(c.RequestReceived(number, 0, deadline, 0, WORK))

    def step(self) -> None:
        """Pass all new events to the decision module, and execute its actions."""
        now = self.world.now
        if self.zones is not None:
            self.zones.tick(now)
        due = [token for at, token in self.timers if at <= now]
        if due:
            self.timers = [timer for timer in self.timers if timer[0] > now]
            self.events += [c.TimerFired(token) for token in due]
        if not self.events:
            return
        events, self.events = self.events, []
        for action in self.manager.handle(now, events):
            self._execute(action, now)

    def _execute(self, action: c.Action, now: int) -> None:
        if isinstance(action, c.StartAttempt):
            request = self.requests[action.request]
            endpoint = self.world.endpoints[action.engine]
            attempt = Attempt(request, len(request.attempts), endpoint, now, request.query.deadline, now)
            request.attempts.append(attempt)
            self.world.send(self, attempt)
        elif isinstance(action, c.StartTimer):
            self.timers.append((now + action.after, action.token))
        elif isinstance(action, c.CancelAttempt):
            self.end_attempt(action.request, action.attempt, c.Outcome.CANCELLED)
        elif isinstance(action, c.RejectRequest | c.FailRequest):
            self._close_request(self.requests[action.request])

    def end_attempt(self, request_number: int, number: int, outcome: c.Outcome) -> None:
        """End an attempt with an outcome; do nothing if it has ended already."""
        request = self.requests.get(request_number)
        if request is None or not request.attempts[number].is_open:
            return
        attempt = request.attempts[number]
        attempt.is_open = False
        latency = self.world.now - attempt.sent_at
        if outcome is c.Outcome.OK and not request.is_concluded:
            self.world.count_answer(request.query)
            request.is_concluded = True
        if self.observer is not None:
            self.observer.attempt_ended(attempt, outcome, latency)
        self.events.append(
            c.AttemptEnded(
                request_number, number, attempt.endpoint.id, outcome, request.is_concluded, latency
            )
        )
        self._remove_if_finished(request)

    def drop_overdue(self, now: int) -> None:
        """End the open requests whose deadline and its grace period have passed, as if their clients left."""
        overdue = [
            request
            for request in self.requests.values()
            if now > request.query.deadline + DEADLINE_GRACE_US and not request.is_concluded
        ]
        for request in overdue:
            for attempt in request.attempts:
                if attempt.is_open:
                    self.end_attempt(request.number, attempt.number, c.Outcome.TIMEOUT)
            if not request.is_concluded:
                self.events.append(c.ClientDisconnected(request.number))
                self._close_request(request)

    def _close_request(self, request: Request) -> None:
        request.is_concluded = True
        self._remove_if_finished(request)

    def _remove_if_finished(self, request: Request) -> None:
        if request.is_concluded and not any(attempt.is_open for attempt in request.attempts):
            self.requests.pop(request.number, None)
