"""What brokers say to each other: typed messages and their encoding (msgspec, MessagePack). No I/O.

One datagram is one `Envelope` with a list of items. MessagePack and msgspec's tagged structs are the whole
format: a datagram has its own bounds, so there is no framing. Times in messages are spans in µs, never
moments: brokers' clocks have nothing in common but their rate, within a bound.
"""

import msgspec

VERSION = 1  # of this set of messages; another one is counted and dropped
LARGEST = 8_192  # bytes of one datagram
ITEMS_MOST = 256


class Item(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Anything that an envelope carries."""


class Look(Item, frozen=True, tag="look"):
    """How does a lease stand with you? Binds nobody."""

    lease: str


class Ask(Item, frozen=True, tag="ask"):
    """Vote for me. `run` names the process, `round` the try, `term` is µs on the voter's clock."""

    lease: str
    run: int
    round: int
    token: int
    term: int
    version: int  # of the voter set that the asker goes by
    renews: bool = False  # the asker holds the lease under this token


class GiveBack(Item, frozen=True, tag="back"):
    """I hold it no more: votes of mine up to this round are free."""

    lease: str
    run: int
    round: int


class Seen(Item, frozen=True, tag="seen"):
    """How a lease stands with this voter. `left` is µs until its vote is free, `mute` µs until it votes."""

    lease: str
    holder: str
    left: int
    token: int
    mute: int


class Grant(Item, frozen=True, tag="grant"):
    """My vote is yours for the term asked."""

    lease: str
    run: int
    round: int
    token: int


class Refuse(Item, frozen=True, tag="refuse"):
    """No vote. `why`: held, mute, token, version, term, full."""

    lease: str
    run: int
    round: int
    why: str
    holder: str
    left: int
    token: int


class Freed(Item, frozen=True, tag="freed"):
    """A hint to those next in line: I gave this back; `token` was mine."""

    lease: str
    token: int


class Word(msgspec.Struct, frozen=True, array_like=True):
    """What is said of a member: `state` is 0 alive, 1 suspect, 2 gone."""

    name: str
    incarnation: int
    state: int


class Ping(Item, frozen=True, tag="ping"):
    """Are you there? `words` ride along."""

    number: int
    words: list[Word]


class Ack(Item, frozen=True, tag="ack"):
    """I am, or `about` is, if it was asked for through me."""

    number: int
    about: str
    words: list[Word]


class PingFor(Item, frozen=True, tag="pingfor"):
    """Ask this one for me: I can't reach it."""

    number: int
    target: str


class FiguresWanted(Item, frozen=True, tag="want"):
    """The summary's holder asks for figures, under its token."""

    lease: str
    token: int
    run: int


class Figures(Item, frozen=True, tag="figures"):
    """One broker's counters: by class success, overload, error, dispatches; the engines it avoids."""

    token: int
    classes: dict[str, list[int]]
    avoided: list[str]
    ready: int
    open: int


class Summary(Item, frozen=True, tag="summary"):
    """All brokers' figures merged by the holder of `token`. `engines`: how many brokers avoid each."""

    token: int
    run: int
    holder: str
    brokers: int
    missing: list[str]
    classes: dict[str, list[int]]
    engines: dict[str, int]


class EngineSeen(msgspec.Struct, frozen=True, array_like=True):
    """How one broker's attempts at one engine went. `engine`: its number, as all brokers have it."""

    engine: int
    ok: int
    late: int
    refused: int
    broken: int
    silent: int
    work: int = 0  # µs of processor work that was answered
    fails: int = 0  # in a row, since its last answer
    answered_ms: int = -1  # ms since its last answer; -1: none is known


class Sight(Item, frozen=True, tag="sight"):
    """What one broker's links saw in the last two seconds; `tenants`: requests that came in those; `alone`:
    zones that it has left by itself."""

    engines: list[EngineSeen]
    tenants: dict[str, int] = {}
    alone: list[str] = []


class ZoneStands(msgspec.Struct, frozen=True, array_like=True):
    """Where a zone is. `share` in permille; `age` and `hand_left` in µs; `by_hand`: out, hold or nothing."""

    name: str
    stage: str
    share: int
    age: int
    flaps: int
    by_hand: str
    hand_left: int
    why: str


class Plan(Item, frozen=True, tag="plan"):
    """The fleet's plan for its zones and regions, by the holder of `token`. `shed`: the part of each tenant's
    requests that is refused, permille."""

    token: int
    run: int
    number: int
    zones: list[ZoneStands]
    regions: list[ZoneStands] = []
    shed: dict[str, int] = {}


class ZoneWish(Item, frozen=True, tag="zonewish"):
    """An operator's wish, passed on to the planner. `what`: leave, practice, hold, return; `span` in µs."""

    zone: str
    what: str
    span: int
    why: str


class PlanWanted(Item, frozen=True, tag="planwanted"):
    """A broker that starts, or has heard no plan for long, asks for the newest."""


Items = (
    Look
    | Ask
    | GiveBack
    | Seen
    | Grant
    | Refuse
    | Freed
    | Ping
    | Ack
    | PingFor
    | FiguresWanted
    | Figures
    | Summary
    | Sight
    | Plan
    | PlanWanted
    | ZoneWish
)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """One datagram. `voters`: version of the sender's voter set; `floor`: the oldest version it answers."""

    v: int
    sender: str
    to: str
    run: int
    incarnation: int
    voters: int
    floor: int
    items: list[Items]


class Head(msgspec.Struct, frozen=True, array_like=True):
    """The part of an envelope that every version has."""

    v: int


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Envelope).decode
_head = msgspec.msgpack.Decoder(Head).decode


class Unreadable(Exception):
    """A datagram that is dropped; its text is the name of the count: garbled, version, large."""


def encode(envelope: Envelope) -> bytes:
    """The datagram of an envelope."""
    return _encode(envelope)


def decode(raw: bytes) -> Envelope:
    """The envelope of a datagram. Raises `Unreadable`, and nothing else, whatever the bytes are."""
    if len(raw) > LARGEST:
        raise Unreadable("large")
    try:
        envelope = _decode(raw)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        raise Unreadable(_why(raw)) from None
    if envelope.v != VERSION:
        raise Unreadable("version")
    if len(envelope.items) > ITEMS_MOST:
        raise Unreadable("large")
    return envelope


def _why(raw: bytes) -> str:
    try:
        return "garbled" if _head(raw).v == VERSION else "version"
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return "garbled"
