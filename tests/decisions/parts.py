"""Builders for tests of single decision modules: a context, engines, requests and their attempts.

Times and durations are in µs. `manager_driver.py` is for tests of the complete manager.
"""

from random import Random

from cypressledge.decisions.context import DecisionContext
from cypressledge.decisions.contract import (
    AttemptEnded,
    ClassSettings,
    EngineListEntry,
    EngineListKind,
    EngineListReceived,
    EngineState,
    Outcome,
    RequestReceived,
    Settings,
)
from cypressledge.decisions.engines import EngineRegistry
from cypressledge.decisions.request import new_request

SECOND = 1_000_000
START = 100 * SECOND
LOOKUP = ClassSettings(latency_objective=SECOND, deadline=5 * SECOND)


def make_context(*classes, now=START, seed=1, **changes):
    """Return a context with default settings for these classes (LOOKUP if none are given), with changes."""
    usual = {"kind_cores": (8, 4), "timer_resolution": 5_000, "supports_cancel": True, "max_attempts": 4}
    return DecisionContext(Settings(classes=classes or (LOOKUP,), **(usual | changes)), Random(seed), now)


def list_entry(engine, state=EngineState.READY, kind=0, zone=0, cell=0, started_at=0):
    """Return an entry of an engine list, by default of a ready engine with unknown start time."""
    return EngineListEntry(engine, state, kind, zone, cell, started_at)


def make_registry(context, *engines):
    """Return a registry with these engines, given as list entries or as ids of default entries."""
    registry = EngineRegistry(context)
    entries = tuple(
        engine if isinstance(engine, EngineListEntry) else list_entry(engine) for engine in engines
    )
    registry.update(EngineListReceived(EngineListKind.FULL, entries))
    return registry


def make_request(context, number=1, class_index=0, cost=100_000, work=None, **fields):
    """Return a request that arrives now; `fields` are further fields of RequestReceived.

    `work` is its corrected cost if that differs from the estimate `cost`.
    """
    class_settings = context.settings.classes[class_index]
    deadline = context.now + class_settings.deadline
    received = RequestReceived(number, class_index, deadline, cost=cost, **fields)
    return new_request(received, class_settings, context.now, cost if work is None else work)


def start_attempt(context, request, engine, attempts=1):
    """Put the last of `attempts` attempts of a request in flight at an engine now; return the request."""
    request.attempts = attempts
    request.engine = engine
    request.sent_at = request.last_activity_at = context.now
    engine.in_flight[request.id] = request
    return request


def attempt_ended(request, outcome=Outcome.OK, latency=100_000, work=0, memory_mb=0.0, load_report=()):
    """Return the event that ends the request's last attempt; it is final if the outcome is OK."""
    engine = request.engine.id if request.engine else 0
    return AttemptEnded(
        request=request.id,
        attempt=request.last_attempt,
        engine=engine,
        outcome=outcome,
        final=outcome is Outcome.OK,
        latency=latency,
        work=work,
        memory_mb=memory_mb,
        load_report=load_report,
    )


class CallRecorder:
    """Stand-in for any component: records the names of the methods called, which all return `answer`."""

    def __init__(self, answer=None):
        self.names = []
        self._answer = answer

    def __getattr__(self, name):
        def record(*arguments):
            self.names.append(name)
            return self._answer

        return record


def log_texts(context):
    """Return the texts of the log lines among the actions."""
    return [action.text for action in context.actions if hasattr(action, "text")]
