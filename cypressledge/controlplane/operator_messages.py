"""The JSON bodies of operators' calls: what is asked, and what is answered.

The fields of a struct stand in the order of its JSON. Where a field's key is another word than its name,
`msgspec.field(name=...)` says which. An answer with a tag has it under `answer`, first.
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
    """What a change does to the state's keys: values assigned (`set` in JSON) and keys removed (`remove`)."""

    assigned: Mapping[str, object]
    removed: list[str]


@dataclass(frozen=True, slots=True)
class ChangeBody:
    """The body of `POST /control/change`.

    `base`: the version that the change was made on; None: the newest there is. `request` names it, so that a
    repeat is recognised; `who` and `why` stand in the history. `dry_run`: only say what would come of it.
    """

    base: int | None
    request: str
    who: str
    why: str
    ops: ChangeOps
    dry_run: bool

    def encode(self) -> str:
        """As JSON. Raises `TypeError` or `ValueError` where a value is no plain data."""
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
    """What an answer says under its key `answer`."""

    LAG = "lag"
    DRY_RUN = "would do"
    ACKNOWLEDGED = "done"
    CONFLICT = "clash"
    OUTCOME_UNKNOWN = "unknown"
    NOT_LEADER = "not primary"
    REJECTED = "bad"


class LeaderAddresses(msgspec.Struct, frozen=True, kw_only=True):
    """Where operators find the leader: the last fields of most answers.

    `leader` and `address` (HOST:PORT) are empty where there is none; `servers`: addresses of all control
    processes. Answers that don't tell it leave all three out.
    """

    leader: str = msgspec.field(default="", name="primary")
    address: str = msgspec.field(default="", name="at")
    servers: list[str] = []


class ProcessRole(msgspec.Struct, frozen=True):
    """Of `StatusAnswer`, what a client looks at to find the leader."""

    role: str = ""


class Outcome(msgspec.Struct, frozen=True):
    """Of any answer, what a client looks at first: its tag (`AnswerTag`) and why, empty where it has none."""

    answer: str = ""
    why: str = ""


class StatusAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """`GET /control/status`: how a control process stands."""

    name: str
    instance_id: str = msgspec.field(name="run")  # hexadecimal
    role: str  # one of `Role`, or "learner"
    epoch: int  # the one promised last
    version: int
    digest: str  # of the committed state, hexadecimal
    cluster_id: str = msgspec.field(name="lineage")
    last: int  # version of the newest entry held
    commit: int
    match: Mapping[str, int]  # at the leader, by voter: the version known to be on its disk, -1: none known
    leader_silence_ms: int = msgspec.field(name="silent_ms")  # since one was last heard from; -1: never
    joining: bool
    brokers: int  # connected to this process
    peers: list[str]  # control processes that can be reached
    key_count: int = msgspec.field(name="keys")
    size_bytes: int = msgspec.field(name="bytes")  # of keys and values
    waiting: int  # changes that wait for their majority
    traffic: Mapping[str, FrameCounts]  # by direction and tag of a message
    counters: Mapping[str, int]  # of the process, by name
    published: Mapping[str, int]  # of its publisher, by name


class LagAnswer(msgspec.Struct, frozen=True, kw_only=True, tag_field="answer", tag=AnswerTag.LAG.value):
    """`GET /control/lag`: which connected brokers have not a version in force, of each kind `MAX_NAMES` names
    at the most. Leaders of older releases leave out fields that have a default."""

    newest: int = 0  # committed version
    version: int  # the one asked for
    connected: int
    in_force: int  # brokers that have it, and have rejected nothing of it
    rejection_count: int = msgspec.field(default=0, name="refused")
    rejections: Mapping[str, str] = msgspec.field(default_factory=dict, name="refused_by")  # why, by broker
    lagging_count: int = msgspec.field(name="lagging")
    lagging: list[str] = msgspec.field(name="names")
    registered: int = 0
    unreachable_count: int = msgspec.field(name="unreachable")  # registered, but connected nowhere
    unreachable: list[str] = msgspec.field(name="unreachable_names")
    unheard: list[str]  # control processes that have not reported yet

    @classmethod
    def from_report(cls, report: LagReport, newest: int) -> "LagAnswer":
        """The answer that tells of a report."""
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
    """One change of the history: when it was asked for (ms, wall clock), by whom and why, and its keys."""

    version: int
    epoch: int
    created_at_ms: int = msgspec.field(name="at")
    author: str = msgspec.field(name="who")
    reason: str = msgspec.field(name="why")
    request_id: str = msgspec.field(name="request")
    assigned: list[str] = msgspec.field(name="set")
    removed: list[str]


class HistoryAnswer(msgspec.Struct, frozen=True):
    """`GET /control/history`: changes, oldest first; `first_kept` (key `from`) and `newest` (key `to`):
    versions between which all changes are kept."""

    first_kept: int = msgspec.field(name="from")
    newest: int = msgspec.field(name="to")
    changes: list[ChangeSummary]


class DryRunAnswer(msgspec.Struct, frozen=True, tag_field="answer", tag=AnswerTag.DRY_RUN.value):
    """A dry run: the version that the change would be, and how many keys it would touch (key `keys`)."""

    version: int
    key_count: int = msgspec.field(name="keys")


class AcknowledgedAnswer(msgspec.Struct, frozen=True, tag_field="answer", tag=AnswerTag.ACKNOWLEDGED.value):
    """A change is committed, as this version."""

    version: int
    epoch: int
    request: str


class ConflictAnswer(msgspec.Struct, frozen=True, tag_field="answer", tag=AnswerTag.CONFLICT.value):
    """A change was refused: `keys` have changed since its base. `version`: the newest there is."""

    why: str
    keys: list[str]
    version: int


class OutcomeUnknownAnswer(
    msgspec.Struct, frozen=True, tag_field="answer", tag=AnswerTag.OUTCOME_UNKNOWN.value
):
    """It isn't known what became of a change. `version`: the one it may have become, if it was proposed."""

    version: int | msgspec.UnsetType
    why: str


class NotLeaderAnswer(msgspec.Struct, frozen=True, tag_field="answer", tag=AnswerTag.NOT_LEADER.value):
    """Only the leader answers this call."""


class RejectedAnswer(msgspec.Struct, frozen=True, tag_field="answer", tag=AnswerTag.REJECTED.value):
    """A call that can't be made as it is, and why."""

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
    """What a call answers: an HTTP status and a body, where it helps the caller with where the leader is."""

    status: HTTPStatus
    body: AnswerBody
    leader: LeaderAddresses | None = None

    def to_json(self) -> Mapping[str, object]:
        """The JSON object, with the leader's addresses last."""
        fields = msgspec.to_builtins(self.body)
        return fields if self.leader is None else fields | msgspec.to_builtins(self.leader)
