"""Helpers to drive the module alone: a small fleet, and attempts that end as the test says."""

from cypressledge.decisions.contract import (
    AttemptEnded,
    CancelAttempt,
    ClassSettings,
    EngineListEntry,
    EngineListKind,
    EngineListReceived,
    EngineState,
    FailRequest,
    Outcome,
    RejectRequest,
    RequestReceived,
    Settings,
    StartAttempt,
    TimerFired,
)
from cypressledge.decisions.manager import WorkloadManager

S = 1_000_000
STEP = 20_000
LOOKUP = ClassSettings(latency_objective=1 * S, deadline=5 * S, latency_objective_stretch=2.0)
REPORT = ClassSettings(
    latency_objective=2 * S,
    deadline=20 * S,
    latency_objective_stretch=2.5,
    late_priority_weight=0.4,
    threads=2,
)


def settings(*classes, **more):
    """Settings of a plain site, with changes."""
    plain = {
        "timer_resolution": 5000,
        "kind_cores": (8, 4),
        "reports_cost": True,
        "supports_cancel": True,
        "max_attempts": 4,
        "slow_start_capacity": 0.3,
        "slow_start_window": 10 * S,
        "overload_multiple": 2.0,
        "overload_window": 2 * S,
    }
    return Settings(classes=classes or (LOOKUP, REPORT), **(plain | more))


def entry(engine, state=EngineState.READY, kind=0, zone=0, cell=0, born=0):
    return EngineListEntry(engine, state, kind, zone, cell, born)


class ManagerDriver:
    """One manager under test, its clock, and what it did."""

    def __init__(self, config=None, engines=3, seed=1, entries=None):
        self.manager = WorkloadManager(config or settings(), seed)
        self.now = 100 * S
        self.done, self.sends = [], []
        self.attempts = {}
        self.tell(
            EngineListReceived(
                EngineListKind.CACHED, tuple(entries or (entry(i + 1) for i in range(engines)))
            )
        )

    def tell(self, *events, after=0):
        """Give events at a later moment; return the actions."""
        self.now += after
        actions = self.manager.handle(self.now, list(events))
        for action in actions:
            if isinstance(action, StartAttempt):
                self.attempts[action.request] = self.attempts.get(action.request, -1) + 1
                self.sends.append(action)
        self.done += actions
        return actions

    def arrive(self, request, cls=0, cost=100_000, span=None, **more):
        due = self.now + (span or self.manager.settings.classes[cls].deadline)
        return self.tell(RequestReceived(request, cls, due, cost=cost, **more))

    def engine_of(self, request):
        return next(s.engine for s in reversed(self.sends) if s.request == request)

    def end(self, request, outcome=Outcome.OK, final=None, after=0, work=100_000, latency=100_000, memory=0):
        final = outcome is Outcome.OK if final is None else final
        return self.tell(
            AttemptEnded(
                request,
                self.attempts[request],
                self.engine_of(request),
                outcome,
                final,
                latency,
                work,
                memory,
            ),
            after=after,
        )

    def run(self, span):
        """Let the housekeeping timer run for a span; return all actions."""
        got = []
        for _ in range(0, span, STEP):
            got += self.tell(TimerFired(0), after=STEP)
        return got


def of(kind, actions):
    return [a for a in actions if isinstance(a, kind)]


def finals(actions):
    return of((RejectRequest, FailRequest), actions)


def cancels(actions):
    return of(CancelAttempt, actions)
