"""Messages between brokers of a fleet, and their encoding (msgspec, MessagePack). No I/O.

One datagram is one `Envelope` with a list of items, encoded as msgspec's tagged structs in MessagePack. There
is no framing, since a datagram has its own boundaries. Structs are encoded by position: tags, the order of
fields and `VERSION` are the wire format, names are not. Times in messages are durations in µs, never points
in time: brokers' clocks have only their rate in common, within a bound.
"""

from enum import StrEnum

import msgspec

VERSION = 1  # version of these messages; datagrams of another version are counted and dropped
MAX_DATAGRAM_BYTES = 8_192
MAX_ITEMS = 256  # items in one envelope


class RejectionReason(StrEnum):
    """Why a voter rejects a vote request. The values are the wire format."""

    HELD = "held"  # the voter's vote for another process is still in force
    VOTING_QUARANTINE = "mute"  # the voter has started too recently to vote
    TOKEN = "token"  # the requested token is not above every token that the voter knows
    VOTERS_VERSION = "version"  # the request's voter set is too old, or the voter's has not settled
    TERM = "term"  # the requested term is longer than the longest one allowed
    CAPACITY = "full"  # the voter already keeps the state of its maximum number of leases


class Item(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of all items that an envelope carries."""


class LeaseStatusRequest(Item, frozen=True, tag="look"):
    """Asks for the status of a lease at a voter. Has no effect on votes."""

    lease: str


class VoteRequest(Item, frozen=True, tag="ask"):
    """Asks for a vote. `instance_id` identifies the process, `round` its attempt; `term` is in µs on the
    voter's clock; `voters_version` is the version of the voter set that the requester uses."""

    lease: str
    instance_id: int
    round: int
    token: int
    term: int
    voters_version: int
    renewal: bool = False  # the requester holds the lease under this token


class ReleaseLease(Item, frozen=True, tag="back"):
    """Frees the votes that the sender was granted for a lease in its rounds up to and including this one."""

    lease: str
    instance_id: int
    round: int


class LeaseStatus(Item, frozen=True, tag="seen"):
    """The status of a lease at one voter. `remaining`: µs until the voter's vote expires;
    `voting_quarantine`: µs until the voter votes at all, 0 unless it has started recently."""

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
    """The vote is rejected. `reason`: a `RejectionReason`, or another text from a later version;
    `remaining`: µs until a vote may be granted."""

    lease: str
    instance_id: int
    round: int
    reason: str
    holder: str
    remaining: int
    token: int


class LeaseReleased(Item, frozen=True, tag="freed"):
    """Notifies the next candidates that the holder under `token` has released a lease. Only a hint, which may
    get lost."""

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
    """Asks the receiver to ping `target`, which has not answered the sender."""

    sequence: int
    target: str


class MetricsRequest(Item, frozen=True, tag="want"):
    """Asks for a broker's metrics; sent by the holder of the summary's lease under its token."""

    lease: str
    token: int
    instance_id: int


class BrokerMetrics(Item, frozen=True, tag="figures"):
    """One broker's metrics. `counts_by_class`: for each class the counts of success, overload, error and
    dispatches, in this order."""

    token: int
    counts_by_class: dict[str, list[int]]
    avoided_engines: list[str]
    ready_engines: int
    open_requests: int


class FleetSummary(Item, frozen=True, tag="summary"):
    """All brokers' metrics merged by the holder of `token`. `counts_by_class` as in `BrokerMetrics`;
    `avoided_engines`: for each engine the number of brokers that avoid it."""

    token: int
    instance_id: int
    holder: str
    broker_count: int
    missing_brokers: list[str]
    counts_by_class: dict[str, list[int]]
    avoided_engines: dict[str, int]


class EngineObservation(msgspec.Struct, frozen=True, array_like=True):
    """The outcomes of one broker's attempts at one engine. `engine`: the engine's number, which is the same
    at all brokers."""

    engine: int
    succeeded: int
    late: int  # succeeded, but well after the expected run time
    connect_failed: int
    failed: int
    timed_out: int
    cpu_time: int = 0  # µs; the engine's processor time for the attempts that succeeded
    consecutive_failures: int = 0
    last_answer_age_ms: int = -1  # ms; -1 if no answer is known


class EngineObservations(Item, frozen=True, tag="sight"):
    """One broker's attempts of the last two seconds. `requests_by_tenant`: requests received in that time;
    `locally_evacuated_zones`: zones that the broker has left without a plan."""

    engines: list[EngineObservation]
    requests_by_tenant: dict[str, int] = {}
    locally_evacuated_zones: list[str] = []


class ZoneStatus(msgspec.Struct, frozen=True, array_like=True):
    """The status of a zone or region in the plan. `share` in permille; `age` and `override_remaining` in µs;
    `flaps`: failed returns; `operator_override`: out, practice, hold or empty."""

    name: str
    stage: str
    share: int
    age: int
    flaps: int
    operator_override: str
    override_remaining: int
    reason: str


class FailoverPlan(Item, frozen=True, tag="plan"):
    """The fleet's plan for its zones and regions, from the holder of `token`. `shed`: the share of each
    tenant's requests to reject, in permille."""

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
    """Asks for the newest plan; sent by a broker that starts, or that has not received a plan for long."""


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
    """One datagram. `voters_version`: the version of the sender's voter set; `oldest_voters_version`: the
    oldest version that the sender accepts in requests."""

    version: int
    sender: str
    recipient: str
    instance_id: int
    incarnation: int
    voters_version: int
    oldest_voters_version: int
    items: list[AnyItem]


class EnvelopeHeader(msgspec.Struct, frozen=True, array_like=True):
    """The part of an envelope that is the same in every version."""

    version: int


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Envelope).decode
_decode_header = msgspec.msgpack.Decoder(EnvelopeHeader).decode


class InvalidDatagramError(Exception):
    """Raised for a datagram that can't be accepted. Its text is the suffix of the counter `fleet.bad_…`:
    garbled, version or large."""


def encode(envelope: Envelope) -> bytes:
    """Return the datagram that encodes an envelope."""
    return _encode(envelope)


def decode(raw: bytes) -> Envelope:
    """Return the envelope of a datagram. Raises `InvalidDatagramError`, and nothing else, for any bytes."""
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
