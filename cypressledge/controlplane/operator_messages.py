"""The JSON bodies of operators' calls: requests and answers.

The fields of a struct are in the order of the JSON keys. If a key differs from the field's name, it is given
by `msgspec.field(name=...)`. The tag of an answer, if it has one, is the first key, `answer`.
"""

import json
from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from http import HTTPStatus

import msgspec

from cypressledge.controlplane.applied_versions import MAX_NAMES, LagReport
from cypressledge.controlplane.traffic_counters import FrameCounts

# Requests


@dataclass(frozen=True, slots=True)
class ChangeOps:
    """The operations of a change on the state's keys.

    `assigned`: values by key (`set` in JSON); `removed`: keys to remove (`remove` in JSON).
    """

    assigned: Mapping[str, object]
    removed: list[str]


@dataclass(frozen=True, slots=True)
class ChangeBody:
    """The body of `POST /control/change`.

    `base`: the version that the change is based on; None: the newest one. `request` is an id by which a
    repeated request is recognised; `who` and `why` are recorded in the history. `dry_run`: the change is only
    validated, and its effect is reported.
    """

    base: int | None
    request: str
    who: str
    why: str
    ops: ChangeOps
    dry_run: bool

    def encode(self) -> str:
        """Return the body as JSON. Raises `TypeError` or `ValueError` if a value is not plain data."""
        body = {
            "base": self.base,
            "request": self.request,
            "who": self.who,
            "why": self.why,
            "ops": {"set": self.ops.assigned, "remove": self.ops.removed},
            "dry_run": self.dry_run,
        }
        return json.dumps(body, allow_nan=False)


# Answers


class AnswerTag(StrEnum):
    """The tag of an answer, under its key `answer`."""

    LAG = "lag"
    DRY_RUN = "would do"
    ACKNOWLEDGED = "done"
    CONFLICT = "clash"
    OUTCOME_UNKNOWN = "unknown"
    NOT_LEADER = "not primary"
    REJECTED = "bad"


class LeaderAddresses(msgspec.Struct, frozen=True, kw_only=True):
    """The management addresses of the leader and of all control processes: the last fields of most answers.

    `leader` and `address` (HOST:PORT) are empty if there is no leader; `servers`: addresses of all control
    processes. The other answers omit all three.
    """

    leader: str = msgspec.field(default="", name="primary")
    address: str = msgspec.field(default="", name="at")
    servers: list[str] = []


class ProcessRole(msgspec.Struct, frozen=True):
    """The part of `StatusAnswer` that a client reads to find the leader."""

    role: str = ""


class Outcome(msgspec.Struct, frozen=True):
    """The part of any answer that a client reads first: tag (`AnswerTag`) and reason; empty if missing."""

    answer: str = ""
    why: str = ""


class StatusAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """`GET /control/status`: the role, positions and counts of a control process."""

    name: str
    instance_id: str = msgspec.field(name="run")  # hexadecimal
    role: str  # one of `Role`, or "learner"
    epoch: int  # the last one promised
    version: int  # of the committed state
    digest: str  # of the committed state, hexadecimal
    cluster_id: str = msgspec.field(name="lineage")
    last: int  # version of the newest entry held
    commit: int
    match: Mapping[str, int]  # at the leader, by voter: the version known to be on its disk; -1: unknown
    leader_silence_ms: int = msgspec.field(name="silent_ms")  # since the leader's last message; -1: none yet
    joining: bool
    brokers: int  # connected to this process
    peers: list[str]  # control processes that can be reached
    key_count: int = msgspec.field(name="keys")
    size_bytes: int = msgspec.field(name="bytes")  # of keys and values
    waiting: int  # changes that wait for their majority
    traffic: Mapping[str, FrameCounts]  # by direction and message tag
    counters: Mapping[str, int]  # of the process, by name
    published: Mapping[str, int]  # of its publisher, by name


class LagAnswer(msgspec.Struct, frozen=True, kw_only=True, tag_field="answer", tag=AnswerTag.LAG.value):
    """`GET /control/lag`: the connected brokers where a version is not in force.

    Each list contains at most `MAX_NAMES` names. Leaders of older releases omit the fields that have a
    default.
    """

    newest: int = 0  # committed version
    version: int  # the requested one
    connected: int
    in_force: int  # brokers that have the version, and have rejected no part of it
    rejection_count: int = msgspec.field(default=0, name="refused")
    rejections: Mapping[str, str] = msgspec.field(default_factory=dict, name="refused_by")  # reason by broker
    lagging_count: int = msgspec.field(name="lagging")
    lagging: list[str] = msgspec.field(name="names")
    registered: int = 0
    unreachable_count: int = msgspec.field(name="unreachable")  # registered, but connected nowhere
    unreachable: list[str] = msgspec.field(name="unreachable_names")
    unheard: list[str]  # control processes that have not reported yet

    @classmethod
    def from_report(cls, report: LagReport, newest: int) -> "LagAnswer":
        """Return the answer for a report; `newest` is the newest committed version."""
        lagging, rejections = report.lagging, report.rejections
        return cls(
            newest=newest,
            version=report.version,
            connected=report.connected,
            in_force=report.connected - len(lagging) - len(rejections),
            rejection_count=len(rejections),
            rejections=dict(list(rejections.items())[:MAX_NAMES]),
            lagging_count=len(lagging),
            lagging=lagging[:MAX_NAMES],
            registered=report.registered,
            unreachable_count=len(report.unreachable),
            unreachable=report.unreachable[:MAX_NAMES],
            unheard=report.unheard,
        )


class KeyAnswer(msgspec.Struct, frozen=True):
    """One key of the state: its value as plain data, and the version that set it."""

    value: object
    version: int


class StateAnswer(msgspec.Struct, frozen=True):
    """`GET /control/state`: the committed state; `entries`: by key, those with the prefix asked for."""

    epoch: int
    version: int
    digest: str
    cluster_id: str = msgspec.field(name="lineage")
    entries: Mapping[str, KeyAnswer]


class ChangeSummary(msgspec.Struct, frozen=True, kw_only=True):
    """One change of the history: when it was requested (ms, wall clock), its author, reason and keys."""

    version: int
    epoch: int
    created_at_ms: int = msgspec.field(name="at")
    author: str = msgspec.field(name="who")
    reason: str = msgspec.field(name="why")
    request_id: str = msgspec.field(name="request")
    assigned: list[str] = msgspec.field(name="set")
    removed: list[str]


class HistoryAnswer(msgspec.Struct, frozen=True):
    """`GET /control/history`: changes, oldest first.

    All changes from version `first_kept` (key `from`) to version `newest` (key `to`) are retained.
    """

    first_kept: int = msgspec.field(name="from")
    newest: int = msgspec.field(name="to")
    changes: list[ChangeSummary]


class DryRunAnswer(msgspec.Struct, frozen=True, tag_field="answer", tag=AnswerTag.DRY_RUN.value):
    """A dry run: the version that the change would become, and how many keys it would set or remove."""

    version: int
    key_count: int = msgspec.field(name="keys")


class AcknowledgedAnswer(msgspec.Struct, frozen=True, tag_field="answer", tag=AnswerTag.ACKNOWLEDGED.value):
    """A change has been committed as this version."""

    version: int
    epoch: int
    request: str


class ConflictAnswer(msgspec.Struct, frozen=True, tag_field="answer", tag=AnswerTag.CONFLICT.value):
    """A change was refused, because `keys` have changed since its base. `version`: the newest one."""

    why: str
    keys: list[str]
    version: int


class OutcomeUnknownAnswer(
    msgspec.Struct, frozen=True, tag_field="answer", tag=AnswerTag.OUTCOME_UNKNOWN.value
):
    """The outcome of a change is unknown. `version`: the one it may have become, if it was proposed."""

    version: int | msgspec.UnsetType
    why: str


class NotLeaderAnswer(msgspec.Struct, frozen=True, tag_field="answer", tag=AnswerTag.NOT_LEADER.value):
    """The call was rejected, because only the leader can answer it."""


class RejectedAnswer(msgspec.Struct, frozen=True, tag_field="answer", tag=AnswerTag.REJECTED.value):
    """The call was rejected as invalid, with the reason."""

    why: str


AnswerBody = (
    StatusAnswer
    | LagAnswer
    | StateAnswer
    | HistoryAnswer
    | DryRunAnswer
    | AcknowledgedAnswer
    | ConflictAnswer
    | OutcomeUnknownAnswer
    | NotLeaderAnswer
    | RejectedAnswer
)


@dataclass(frozen=True, slots=True)
class Answer:
    """The answer to a call: an HTTP status, a body and, for most calls, the addresses of the leader."""

    status: HTTPStatus
    body: AnswerBody
    leader: LeaderAddresses | None = None

    def to_json(self) -> Mapping[str, object]:
        """Return the JSON object, with the leader's addresses last."""
        fields = msgspec.to_builtins(self.body)
        return fields if self.leader is None else fields | msgspec.to_builtins(self.leader)
