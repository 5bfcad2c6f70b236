"""Bodies of the answers to operators' calls about fleet and zones. No I/O.

Operators' scripts read them: keys, their order and the values must not change.
"""

import json
from collections.abc import Sequence

import msgspec


class AnswerBody(msgspec.Struct, frozen=True):
    """Base of all bodies. The keys are written in the order of the fields."""


class PeerRow(AnswerBody, frozen=True):
    """One broker as the answering broker sees it. `heard_s`: seconds since its last message, None if there
    was none; `voters_version`: None if it is not known; `is_here`: whether it is the answering broker."""

    name: str
    zone: str
    state: str
    voter: bool
    incarnation: int
    heard_s: float | None
    voters_version: int | None
    is_here: bool = msgspec.field(name="here")


class LeaseRow(AnswerBody, frozen=True):
    """One lease as the answering broker sees it. `holder`: the last known one; `left_s`: seconds that the
    answering broker holds it without a further vote; `rank`: the answering broker's place among the
    `candidates`, None if it is not one."""

    lease: str
    state: str
    holder: str
    token: int
    left_s: float
    rank: int | None
    candidates: list[str] = msgspec.field(name="line")


class TaskRow(AnswerBody, frozen=True):
    """One task of the answering broker. `cpu_ms` and `longest_step_ms` are of all tasks together,
    `turn_p99_ms` is of the fleet node."""

    task: str
    lease: str
    running_under: list[str]
    runs: int = msgspec.field(name="acts")
    cancelled: int = msgspec.field(name="called_off")
    timed_out: int = msgspec.field(name="overdue")
    failed: int
    priority: int
    cpu_ms: float
    longest_step_ms: float
    turn_p99_ms: float


class RestartTurn(AnswerBody, frozen=True):
    """The status of the answering broker's restart turn: whether it is `requested` and `granted`, its token
    (0 if not granted), and the brokers that are missing."""

    lease: str
    requested: bool = msgspec.field(name="wanted")
    granted: bool = msgspec.field(name="yours")
    token: int
    missing: list[str]


class SummaryAnswer(AnswerBody, frozen=True):
    """The fleet's latest summary. `age_s`: seconds since it was received; `counts_by_class`: for each class
    the counts of success, overload, error and dispatches; `avoided_engines`: for each engine the number of
    brokers that avoid it."""

    holder: str
    token: int
    age_s: float
    broker_count: int = msgspec.field(name="brokers")
    missing: list[str]
    counts_by_class: dict[str, list[int]] = msgspec.field(name="classes")
    avoided_engines: dict[str, int] = msgspec.field(name="engines_avoided")


class ZoneRow(AnswerBody, frozen=True):
    """The status of a zone or region at the answering broker. `share`: 0 to 1; `failed_returns`,
    `operator_override` and `reason`: from the plan; `verdict`: empty unless this broker is the planner."""

    zone: str
    region: str
    stage: str
    share: float
    is_locally_evacuated: bool = msgspec.field(name="alone")
    failed_returns: int = msgspec.field(name="flaps")
    operator_override: str = msgspec.field(name="by_hand")
    verdict: str = msgspec.field(name="finding")
    reason: str = msgspec.field(name="why")


class ZonesAnswer(AnswerBody, frozen=True):
    """The plan that the answering broker follows. `heard_s`: seconds since it was received; `shed_permille`:
    by tenant, the share of requests to reject; `shed_here`: requests shed by this broker so far."""

    planner: str
    token: int
    number: int
    heard_s: float
    shed_permille: dict[str, int] = msgspec.field(name="shed")
    shed_here: int
    zones: list[ZoneRow]


Body = AnswerBody | Sequence[AnswerBody] | None


def to_body(answer: Body) -> bytes:
    """Return the answer as a line of JSON, in UTF-8."""
    return json.dumps(msgspec.to_builtins(answer)).encode() + b"\n"
