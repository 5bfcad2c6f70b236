"""Builds what a test of one module of the decisions needs: a context, engines, requests and their attempts.

Times and spans are in µs. `manager_driver.py` is for tests of the whole manager.
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
    """A context of a plain site of these classes (LOOKUP by default), with changes of its settings."""
    usual = {"kind_cores": (8, 4), "timer_resolution": 5_000, "supports_cancel": True, "max_attempts": 4}
    return DecisionContext(Settings(classes=classes or (LOOKUP,), **(usual | changes)), Random(seed), now)


def list_entry(engine, state=EngineState.READY, kind=0, zone=0, cell=0, started_at=0):
    """An entry of an engine list: a ready engine that started long ago."""
    return EngineListEntry(engine, state, kind, zone, cell, started_at)


def make_registry(context, *engines):
    """A registry that has a list of these engines: list entries, or numbers of plain ones."""
    registry = EngineRegistry(context)
    entries = tuple(
        engine if isinstance(engine, EngineListEntry) else list_entry(engine) for engine in engines
    )
    registry.update(EngineListReceived(EngineListKind.FULL, entries))
    return registry


def make_request(context, number=1, class_index=0, cost=100_000, work=None, **fields):
    """A request that arrives now, with further fields of RequestReceived.

    `work` is its corrected cost where that differs from the estimate `cost`.
    """
    class_settings = context.settings.classes[class_index]
    deadline = context.now + class_settings.deadline
    received = RequestReceived(number, class_index, deadline, cost=cost, **fields)
    return new_request(received, class_settings, context.now, cost if work is None else work)


def start_attempt(context, request, engine, attempts=1):
    """Put the last of so many attempts of a request in flight at an engine, since now; return the request."""
    request.attempts = attempts
    request.engine = engine
    request.sent_at = request.last_activity_at = context.now
    engine.in_flight[request.id] = request
    return request


def attempt_ended(request, outcome=Outcome.OK, latency=100_000, work=0, memory_mb=0.0, load_report=()):
    """The end of the request's last attempt, final with OK."""
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
    """Takes the place of any part: records the names of the methods called, which all return `answer`."""

    def __init__(self, answer=None):
        self.names = []
        self._answer = answer

    def __getattr__(self, name):
        def record(*arguments):
            self.names.append(name)
            return self._answer

        return record


def log_texts(context):
    """The log lines among the actions."""
    return [action.text for action in context.actions if hasattr(action, "text")]
