"""Messages between brokers of a fleet, and their encoding (msgspec, MessagePack). No I/O.

One datagram is one `Envelope` with a list of items. MessagePack and msgspec's tagged structs are all of the
format: a datagram has its own bounds, so there is no framing. Structs are encoded by position: tags, the
order of fields and `VERSION` are the wire format, names are not. Times in messages are durations in µs, never
points in time: brokers' clocks share nothing but their rate, within a bound.
"""

from enum import StrEnum

import msgspec

VERSION = 1  # of this set of messages; datagrams of another version are counted and dropped
MAX_DATAGRAM_BYTES = 8_192
MAX_ITEMS = 256  # items of one envelope


class RejectionReason(StrEnum):
    """Why a voter rejects a vote request. The values are the wire format."""

    HELD = "held"  # the vote is another process's still
    VOTING_QUARANTINE = "mute"  # the voter has started too recently to vote
    TOKEN = "token"  # the token requested is not above every one known
    VOTERS_VERSION = "version"  # an older voter set, or one that has not settled
    TERM = "term"  # longer than the longest term allowed
    CAPACITY = "full"  # the voter keeps the state of no further lease


class Item(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of everything that an envelope carries."""


class LeaseStatusRequest(Item, frozen=True, tag="look"):
    """Asks for the status of a lease at a voter. Binds nobody."""

    lease: str


class VoteRequest(Item, frozen=True, tag="ask"):
    """Asks for a vote. `instance_id` names the process, `round` its attempt; `term` is µs on the voter's
    clock, `voters_version` the voter set that the requester goes by."""

    lease: str
    instance_id: int
    round: int
    token: int
    term: int
    voters_version: int
    renewal: bool = False  # the requester holds the lease under this token


class ReleaseLease(Item, frozen=True, tag="back"):
    """Frees the sender's votes for a lease up to and including this round."""

    lease: str
    instance_id: int
    round: int


class LeaseStatus(Item, frozen=True, tag="seen"):
    """The status of a lease at one voter. `remaining`: µs until its vote expires; `voting_quarantine`: µs
    until it votes at all."""

    lease: str
    holder: str
    remaining: int
    token: int
    voting_quarantine: int


class VoteGranted(Item, frozen=True, tag="grant"):
    """The vote is granted for the term requested."""

    lease: str
    instance_id: int
    round: int
    token: int


class VoteRejected(Item, frozen=True, tag="refuse"):
    """No vote. `reason`: a `RejectionReason`, or a later version's; `remaining`: µs until it may be
    granted."""

    lease: str
    instance_id: int
    round: int
    reason: str
    holder: str
    remaining: int
    token: int


class LeaseReleased(Item, frozen=True, tag="freed"):
    """Tells the next candidates that the holder under `token` has released a lease. A hint: may get lost."""

    lease: str
    token: int


class GossipUpdate(msgspec.Struct, frozen=True, array_like=True):
    """The state of a member as the sender knows it: 0 alive, 1 suspect, 2 gone."""

    name: str
    incarnation: int
    state: int


class Ping(Item, frozen=True, tag="ping"):
    """A health check of the receiver, with gossip."""

    sequence: int
    updates: list[GossipUpdate]


class Ack(Item, frozen=True, tag="ack"):
    """The answer to a ping; `target` is empty, or the member that was pinged on the receiver's behalf."""

    sequence: int
    target: str
    updates: list[GossipUpdate]


class IndirectPing(Item, frozen=True, tag="pingfor"):
    """Asks the receiver to ping `target`, which the sender can't reach."""

    sequence: int
    target: str


class MetricsRequest(Item, frozen=True, tag="want"):
    """The holder of the summary's lease asks for a broker's metrics, under its token."""

    lease: str
    token: int
    instance_id: int


class BrokerMetrics(Item, frozen=True, tag="figures"):
    """One broker's counters. `counts_by_class`: success, overload, error, dispatches."""

    token: int
    counts_by_class: dict[str, list[int]]
    avoided_engines: list[str]
    ready_engines: int
    open_requests: int


class FleetSummary(Item, frozen=True, tag="summary"):
    """All brokers' metrics merged by the holder of `token`. `avoided_engines`: how many brokers avoid
    each."""

    token: int
    instance_id: int
    holder: str
    broker_count: int
    missing_brokers: list[str]
    counts_by_class: dict[str, list[int]]
    avoided_engines: dict[str, int]


class EngineObservation(msgspec.Struct, frozen=True, array_like=True):
    """How one broker's attempts at one engine ended. `engine`: its number, the same at all brokers."""

    engine: int
    succeeded: int
    late: int  # succeeded, but well after the expected run time
    connect_failed: int
    failed: int
    timed_out: int
    cpu_time: int = 0  # µs of engine processor time of the attempts that succeeded
    consecutive_failures: int = 0
    last_answer_age_ms: int = -1  # -1: no answer is known


class EngineObservations(Item, frozen=True, tag="sight"):
    """One broker's attempts of the last two seconds; `requests_by_tenant`: requests received in those;
    `locally_evacuated_zones`: zones that it has left without a plan."""

    engines: list[EngineObservation]
    requests_by_tenant: dict[str, int] = {}
    locally_evacuated_zones: list[str] = []


class ZoneStatus(msgspec.Struct, frozen=True, array_like=True):
    """The status of a zone or region in the plan. `share` in permille; `age` and `override_remaining` in µs;
    `operator_override`: out, practice, hold or empty."""

    name: str
    stage: str
    share: int
    age: int
    flaps: int
    operator_override: str
    override_remaining: int
    reason: str


class FailoverPlan(Item, frozen=True, tag="plan"):
    """The fleet's plan for its zones and regions, by the holder of `token`. `shed`: the part of each tenant's
    requests to reject, permille."""

    token: int
    instance_id: int
    number: int
    zones: list[ZoneStatus]
    regions: list[ZoneStatus] = []
    shed: dict[str, int] = {}


class ZoneCommand(Item, frozen=True, tag="zonewish"):
    """An operator's command for a zone, forwarded to the planner. `action`: leave, practice, hold or return;
    `duration` in µs."""

    zone: str
    action: str
    duration: int
    reason: str


class PlanRequest(Item, frozen=True, tag="planwanted"):
    """Asks for the newest plan: from a broker that starts, or has received none for long."""


LeaseItem = (
    LeaseStatusRequest | VoteRequest | ReleaseLease | LeaseStatus | VoteGranted | VoteRejected | LeaseReleased
)
MembershipItem = Ping | Ack | IndirectPing
AnyItem = (
    LeaseItem
    | MembershipItem
    | MetricsRequest
    | BrokerMetrics
    | FleetSummary
    | EngineObservations
    | FailoverPlan
    | PlanRequest
    | ZoneCommand
)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """One datagram. `voters_version`: version of the sender's voter set; `oldest_voters_version`: the oldest
    that it answers."""

    version: int
    sender: str
    recipient: str
    instance_id: int
    incarnation: int
    voters_version: int
    oldest_voters_version: int
    items: list[AnyItem]


class EnvelopeHeader(msgspec.Struct, frozen=True, array_like=True):
    """The part of an envelope that every version has."""

    version: int


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Envelope).decode
_decode_header = msgspec.msgpack.Decoder(EnvelopeHeader).decode


class InvalidDatagramError(Exception):
    """A datagram that is dropped; its text is the suffix of the counter `fleet.bad_…`: garbled, version,
    large."""


def encode(envelope: Envelope) -> bytes:
    """The datagram of an envelope."""
    return _encode(envelope)


def decode(raw: bytes) -> Envelope:
    """The envelope of a datagram. Raises `InvalidDatagramError`, and nothing else, whatever the bytes are."""
    if len(raw) > MAX_DATAGRAM_BYTES:
        raise InvalidDatagramError("large")
    try:
        envelope = _decode(raw)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        raise InvalidDatagramError(_invalid_reason(raw)) from None
    if envelope.version != VERSION:
        raise InvalidDatagramError("version")
    if len(envelope.items) > MAX_ITEMS:
        raise InvalidDatagramError("large")
    return envelope


def _invalid_reason(raw: bytes) -> str:
    try:
        return "garbled" if _decode_header(raw).version == VERSION else "version"
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return "garbled"
