"""Events for the decisions, and their actions as fixed codes and raw values.

The one place that names the contract's classes, fields, reasons and log texts: a rename changes nothing else.
"""

from dataclasses import dataclass, fields

from cypressledge.decisions import contract

# The one place that names actions: their codes in the digest are the positions here.
ACTION_CODES = {
    contract.StartAttempt: 0,
    contract.SetAttemptResources: 1,
    contract.CancelAttempt: 2,
    contract.RejectRequest: 3,
    contract.FailRequest: 4,
    contract.StartTimer: 5,
    contract.Subscribe: 6,
    contract.Log: 7,
}
REASON_CODES = {reason: code for code, reason in enumerate(contract.Reason)}
LOG_CODES = {
    "answers again": 0,
    "answers errors where others do not: ejected": 1,
    "broke its connections: ejected until it answers": 2,
    "is silent while others answer: ejected": 3,
}


@dataclass(slots=True)
class AttemptResult:
    """How an attempt ended, and what its engine said of it."""

    outcome: contract.Outcome
    final: bool
    latency: int
    work: int = 0
    memory: float = 0.0
    report: tuple = ()


def raw_values(action) -> tuple:
    """The action as a fixed code and its values in field order, with reasons and log texts as codes."""
    code = ACTION_CODES[type(action)]
    if code == 7:
        _, engine, text = action.text.split(" ", 2)
        return code, engine, LOG_CODES[text]
    values = (getattr(action, f.name) for f in fields(action))
    return code, *(REASON_CODES[v] if isinstance(v, contract.Reason) else v for v in values)


# The one place that builds events.


def request_received(request, class_index, deadline, key, cost, memory, group):
    return contract.RequestReceived(request, class_index, deadline, key, cost, memory, group)


def attempt_ended(request, attempt, engine, result: AttemptResult):
    return contract.AttemptEnded(
        request,
        attempt,
        engine,
        result.outcome,
        result.final,
        result.latency,
        result.work,
        result.memory,
        result.report,
    )


def progress_note(request, attempt, engine, value):
    return contract.AttemptProgress(request, attempt, engine, contract.ProgressKind.PROGRESS, value)


def spill_note(request, attempt, engine, value):
    return contract.AttemptProgress(request, attempt, engine, contract.ProgressKind.SPILLING, value)


def waits_note(request, attempt, engine, value):
    return contract.AttemptProgress(request, attempt, engine, contract.ProgressKind.WAITING, value)


def client_left(request):
    return contract.ClientDisconnected(request)


def timer_fired(token):
    return contract.TimerFired(token)


def probed(engine):
    return contract.HealthCheckEnded(engine, contract.Outcome.OK, 1_000)


def stopping():
    return contract.ShutdownStarted()


def list_failed():
    return contract.EngineListReceived(contract.EngineListKind.FAILED)


def full_list(engines):
    return contract.EngineListReceived(
        contract.EngineListKind.FULL, tuple(list_entry(engine) for engine in engines)
    )


def delta_list(engines):
    return contract.EngineListReceived(
        contract.EngineListKind.DELTA, tuple(list_entry(engine) for engine in engines)
    )


def list_entry(engine):
    state = contract.EngineState(engine.state)
    return contract.EngineListEntry(engine.number, state, engine.kind, engine.zone, engine.cell, engine.born)


CONNECT_FAILED, RESET = contract.Outcome.CONNECT_FAILED, contract.Outcome.RESET
OK, ERROR, FULL = contract.Outcome.OK, contract.Outcome.ERROR, contract.Outcome.REJECTED
TIMEOUT, CANCELLED, NOT_SENT = contract.Outcome.TIMEOUT, contract.Outcome.CANCELLED, contract.Outcome.NOT_SENT
REMOVED, DRAINING, READY = 0, 1, 2
