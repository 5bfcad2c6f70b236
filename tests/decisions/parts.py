"""Parts of the decisions for tests of one module alone: a context, engines and requests."""

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

SECOND = 1_000_000  # µs
START = 100 * SECOND
LOOKUP = ClassSettings(latency_objective=SECOND, deadline=5 * SECOND)


def context(*classes, now=START, seed=1, **changes):
    """A context of a plain site, at a moment."""
    usual = {"kind_cores": (8, 4), "timer_resolution": 5_000, "supports_cancel": True, "max_attempts": 4}
    return DecisionContext(Settings(classes=classes or (LOOKUP,), **(usual | changes)), Random(seed), now)


def entry(number, state=EngineState.READY, kind=0, zone=0, cell=0, started_at=0):
    return EngineListEntry(number, state, kind, zone, cell, started_at)


def registry(ctx, *entries):
    """A registry that has taken a list of these engines: entries, or numbers of plain ones."""
    made = EngineRegistry(ctx)
    listed = tuple(e if isinstance(e, EngineListEntry) else entry(e) for e in entries)
    made.update(EngineListReceived(EngineListKind.FULL, listed))
    return made


def request(ctx, number=1, class_index=0, cost=100_000, work=None, memory_mb=0.0, table_group=0, key=0):
    """A request that has just come; `work` is its corrected cost where that differs from the estimate."""
    class_settings = ctx.settings.classes[class_index]
    received = RequestReceived(
        number, class_index, ctx.now + class_settings.deadline, key, cost, memory_mb, table_group
    )
    return new_request(received, class_settings, ctx.now, cost if work is None else work)


def sent(ctx, made, engine, attempts=1):
    """The request with an attempt in flight at an engine since now."""
    made.attempts, made.engine, made.sent_at, made.last_activity_at = attempts, engine, ctx.now, ctx.now
    engine.in_flight[made.id] = made
    return made


def ended(made, outcome=Outcome.OK, latency=100_000, work=0, memory_mb=0.0, load_report=()):
    """The end of the request's attempt."""
    engine = made.engine.id if made.engine else 0
    return AttemptEnded(
        made.id,
        made.attempts - 1,
        engine,
        outcome,
        outcome is Outcome.OK,
        latency,
        work,
        memory_mb,
        load_report,
    )


def texts(ctx):
    """The log lines among the actions."""
    return [action.text for action in ctx.actions if hasattr(action, "text")]
