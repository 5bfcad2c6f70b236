"""The bodies of the answers to operators' calls of fleet and zones. No I/O.

Operators' scripts read them: keys, their order and the values stay.
"""

import json
from collections.abc import Sequence

import msgspec


class AnswerBody(msgspec.Struct, frozen=True):
    """Base of all of them. Keys are in the order of fields."""


class PeerRow(AnswerBody, frozen=True):
    """One broker as seen from here. `heard_s`: seconds since its last message, None where there was none;
    `voters_version`: None where it is not known; `is_here`: the broker that answers."""

    name: str
    zone: str
    state: str
    voter: bool
    incarnation: int
    heard_s: float | None
    voters_version: int | None
    is_here: bool = msgspec.field(name="here")


class LeaseRow(AnswerBody, frozen=True):
    """One lease as seen from here. `holder`: as last heard of; `left_s`: seconds that it is held for here
    without a further vote; `rank`: this broker's place among the `candidates`, None where it is not one."""

    lease: str
    state: str
    holder: str
    token: int
    left_s: float
    rank: int | None
    candidates: list[str] = msgspec.field(name="line")


class TaskRow(AnswerBody, frozen=True):
    """One task of this broker. Processor times are of all tasks together, `turn_p99_ms` of the node."""

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
    """How a turn to restart stands: whether it is `requested` and `granted`, under which token (0: none), and
    which brokers are missing."""

    lease: str
    requested: bool = msgspec.field(name="wanted")
    granted: bool = msgspec.field(name="yours")
    token: int
    missing: list[str]


class SummaryAnswer(AnswerBody, frozen=True):
    """The fleet's latest summary. `counts_by_class`: success, overload, error, dispatches;
    `avoided_engines`: how many brokers avoid each."""

    holder: str
    token: int
    age_s: float
    broker_count: int = msgspec.field(name="brokers")
    missing: list[str]
    counts_by_class: dict[str, list[int]] = msgspec.field(name="classes")
    avoided_engines: dict[str, int] = msgspec.field(name="engines_avoided")


class ZoneRow(AnswerBody, frozen=True):
    """How a zone or region stands at this broker. `share`: 0 to 1; `failed_returns`, `operator_override` and
    `reason`: as the plan has them; `verdict`: empty where this broker does not plan."""

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
    """The plan that this broker follows. `heard_s`: seconds since it came; `shed_permille`: of each tenant's
    requests; `shed_here`: requests shed by this broker so far."""

    planner: str
    token: int
    number: int
    heard_s: float
    shed_permille: dict[str, int] = msgspec.field(name="shed")
    shed_here: int
    zones: list[ZoneRow]


Body = AnswerBody | Sequence[AnswerBody] | None


def to_body(answer: Body) -> bytes:
    """The answer as a line of JSON."""
    return json.dumps(msgspec.to_builtins(answer)).encode() + b"\n"
