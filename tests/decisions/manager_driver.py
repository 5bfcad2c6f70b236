"""Driver of a workload manager in tests: virtual time, a small fleet, and attempts that the test ends.

Times and durations are in µs. `parts.py` is for tests of a single module.
"""

import dataclasses

from cypressledge.decisions.contract import (
    AttemptEnded,
    CancelAttempt,
    ClassSettings,
    DeduplicationScope,
    EngineListEntry,
    EngineListKind,
    EngineListReceived,
    EngineState,
    FailRequest,
    Idempotency,
    Outcome,
    RejectRequest,
    RequestReceived,
    Settings,
    StartAttempt,
    TimerFired,
)
from cypressledge.decisions.manager import WorkloadManager

SECOND = 1_000_000
STEP = 20_000  # µs; time between two timers of ManagerDriver.run
START = 100 * SECOND
LOOKUP = ClassSettings(latency_objective=1 * SECOND, deadline=5 * SECOND, latency_objective_stretch=2.0)
REPORT = ClassSettings(
    latency_objective=2 * SECOND,
    deadline=20 * SECOND,
    latency_objective_stretch=2.5,
    late_priority_weight=0.4,
    threads=2,
)
NOT_IDEMPOTENT = ClassSettings(
    latency_objective=4 * SECOND, deadline=20 * SECOND, idempotency=Idempotency.NOT_IDEMPOTENT
)
ORDERED = dataclasses.replace(NOT_IDEMPOTENT, ordered=True)


def with_key(scope: DeduplicationScope) -> ClassSettings:
    """Return a class with idempotency keys; engines within `scope` drop duplicates for 5 s."""
    return ClassSettings(
        latency_objective=SECOND,
        deadline=20 * SECOND,
        idempotency=Idempotency.WITH_KEY,
        deduplication_scope=scope,
        deduplication_window=5 * SECOND,
    )


def settings(*classes, **changes):
    """Return default settings for these classes (LOOKUP and REPORT if none are given), with changes."""
    plain = {
        "timer_resolution": 5000,
        "kind_cores": (8, 4),
        "reports_cost": True,
        "supports_cancel": True,
        "max_attempts": 4,
        "slow_start_capacity": 0.3,
        "slow_start_window": 10 * SECOND,
        "overload_multiple": 2.0,
        "overload_window": 2 * SECOND,
    }
    return Settings(classes=classes or (LOOKUP, REPORT), **(plain | changes))


def entry(engine, state=EngineState.READY, kind=0, zone=0, cell=0, started_at=0):
    """Return an entry of an engine list, by default of a ready engine with unknown start time."""
    return EngineListEntry(engine, state, kind, zone, cell, started_at)


class ManagerDriver:
    """A manager under test with its clock, the actions it returned, and the attempts it started.

    The initial engine list holds `entries`, or `engines` default entries with ids from 1.
    """

    def __init__(self, config=None, engines=3, seed=1, entries=None):
        self.manager = WorkloadManager(config or settings(), seed)
        self.now = START
        self.actions = []  # all actions returned so far
        self.sends = []  # the StartAttempt actions among them
        self.attempts = {}  # number of the last attempt, by request
        listed = tuple(entries or (entry(number + 1) for number in range(engines)))
        self.handle(EngineListReceived(EngineListKind.CACHED, listed))

    def handle(self, *events, after=0):
        """Pass events to the manager `after` µs later; return its actions."""
        self.now += after
        actions = self.manager.handle(self.now, list(events))
        for action in actions:
            if isinstance(action, StartAttempt):
                self.attempts[action.request] = self.attempts.get(action.request, -1) + 1
                self.sends.append(action)
        self.actions += actions
        return actions

    def arrive(self, request, class_index=0, cost=100_000, time_limit=None, **fields):
        """Pass a new request to the manager, due at the deadline of its class or after a time limit."""
        deadline = self.now + (time_limit or self.manager.settings.classes[class_index].deadline)
        return self.handle(RequestReceived(request, class_index, deadline, cost=cost, **fields))

    def engine_of(self, request):
        """Return the engine of the request's last attempt."""
        return next(send.engine for send in reversed(self.sends) if send.request == request)

    def end(self, request, outcome=Outcome.OK, final=None, after=0, work=100_000, latency=100_000, memory=0):
        """End the request's last attempt `after` µs later; return the actions. OK is final by default."""
        final = outcome is Outcome.OK if final is None else final
        return self.handle(
            AttemptEnded(
                request=request,
                attempt=self.attempts[request],
                engine=self.engine_of(request),
                outcome=outcome,
                final=final,
                latency=latency,
                work=work,
                memory_mb=memory,
            ),
            after=after,
        )

    def run(self, span):
        """Fire the housekeeping timer every STEP for `span` µs; return all actions."""
        actions = []
        for _ in range(0, span, STEP):
            actions += self.handle(TimerFired(0), after=STEP)
        return actions


def run_with_silent_engine(driver, silent=1, span=3 * SECOND):
    """Send traffic for `span` µs; the engine `silent` does not answer, the others answer after 100 ms."""
    request = 1000
    for _ in range(span // STEP):
        for _ in range(2):
            driver.arrive(request)
            request += 1
        for send in list(driver.sends):
            open_request = driver.manager.requests.get(send.request)
            if open_request is None or open_request.engine is None or open_request.engine.id == silent:
                continue
            if driver.now - open_request.sent_at >= 100_000:
                driver.end(send.request)
        driver.run(STEP)


def actions_of(kind, actions):
    """Return the actions of a type, or of one of several types."""
    return [action for action in actions if isinstance(action, kind)]


def final_answers(actions):
    """Return the rejections and failures among the actions."""
    return actions_of((RejectRequest, FailRequest), actions)


def cancellations(actions):
    """Return the cancellations among the actions."""
    return actions_of(CancelAttempt, actions)
