"""Messages between control processes, brokers and operators (msgspec structs, MessagePack). No I/O.

A frame on a TCP connection is a length of four bytes (big endian) and one message. `Change` and `Snapshot`
are also what a voter keeps on disk. Structs are encoded as arrays: the order of fields and the tags are the
wire format and must not change while `FORMAT` stays; the names of classes and fields are free.

A position is (epoch, version). The version numbers the changes of the replicated log; the epoch (Raft's term)
is the fencing token of the lease under which that version was written.
"""

from typing import Literal

import msgspec

FORMAT = 1  # version of the messages, sent in the first frame; peers with another version are disconnected
LENGTH_PREFIX_BYTES = 4  # bytes; length prefix of each message
MAX_FRAME_BYTES = 4 << 20  # bytes; the largest message, without its length prefix
MAX_OPS_PER_CHANGE = 2_000  # keys that one change may set or remove
MAX_CHANGE_BYTES = 512 << 10  # bytes; keys and values of one change
MAX_BATCH_BYTES = 128 << 10  # bytes; changes in one Deltas or AppendEntries, unless a single change is larger
MAX_REJECTION_REASON_LENGTH = 200  # characters; the reason why a broker rejected settings


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of all messages that a frame can carry; the tag identifies the class on the wire."""


class Op(msgspec.Struct, frozen=True, array_like=True):
    """An operation on one key: set it to a value or, without a value, remove it.

    Keys are `config/SECTION`, `engine/NAME` and `broker/NAME`. The value is plain data in the canonical
    encoding (see `state_values.py`).
    """

    key: str
    value: bytes | None = None


class Change(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the replicated log.

    `digest` is that of the complete state after the change. `request_id` is chosen by whoever asks for the
    change, so that a repeated request is recognised; it is empty for changes that the leader makes by itself.
    `created_at_ms` is the leader's wall clock, for people to read only: nothing is decided by it.
    """

    epoch: int
    version: int
    ops: list[Op]
    digest: bytes
    request_id: str = ""
    author: str = ""
    reason: str = ""
    created_at_ms: int = 0


class StateEntry(msgspec.Struct, frozen=True, array_like=True):
    """One key of the state: its value and the version that set it."""

    key: str
    value: bytes
    version: int


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """The complete state at a position.

    `requests` holds the most recent request ids, oldest first, and the versions they became. `cluster_id`
    names the replicated log from its first version on.
    """

    cluster_id: str
    epoch: int
    version: int
    digest: bytes
    entries: list[StateEntry]
    requests: list[tuple[str, int]]


# Handshake and end of every connection


class Hello(Message, frozen=True, tag="hello"):
    """The first frame of a process that connects.

    `instance_id` differs between two processes that had the same name one after the other. A broker also
    sends its location, the position that it holds and why it rejected a part of that state (see
    `AppliedPosition`).
    """

    format: int
    role: Literal["control", "broker"]
    name: str
    instance_id: int
    cluster_id: str = ""  # cluster of the state held; empty if none is held
    epoch: int = 0
    version: int = 0
    digest: bytes = b""
    address: str = ""  # HOST:PORT of a broker's fleet socket; empty: the broker is not registered
    zone: str = ""
    region: str = ""
    rejection_reason: str = ""


class HelloAccepted(Message, frozen=True, tag="welcome"):
    """Answer to `Hello`: a control process with this name and instance id accepts the connection."""

    name: str
    instance_id: int
    cluster_id: str


class Disconnect(Message, frozen=True, tag="goodbye"):
    """The sender closes the connection.

    `reason` is one of format, lineage, full, replaced, silent, nonsense, stopping. The peer reconnects after
    `retry_after_ms` at the earliest.
    """

    reason: str
    retry_after_ms: int = 0


# Control process to broker


class Deltas(Message, frozen=True, tag="deltas"):
    """Committed changes that follow the position the broker reported, in order and without a gap."""

    changes: list[Change]


class CompleteSnapshot(Message, frozen=True, tag="whole"):
    """A committed snapshot: the encoded `Snapshot`, compressed with zlib once per version."""

    compressed: bytes


class Heartbeat(Message, frozen=True, tag="beat"):
    """The newest committed position that this control process knows; sent at regular intervals.

    `leader_silence_ms` is how long ago it last received a message of the leader; -1 if it never has.
    """

    epoch: int
    version: int
    digest: bytes
    leader: str
    leader_silence_ms: int


# Broker to control process


class AppliedPosition(Message, frozen=True, tag="have"):
    """The position that the broker holds now; also the permission to send the next `Deltas` or snapshot.

    Only one of those is in flight at a time. `rejection_reason` is one short line on why the broker's own
    process rejected a part of that state; empty if all of it is applied.
    """

    epoch: int
    version: int
    digest: bytes
    rejection_reason: str = ""


class SnapshotRequest(Message, frozen=True, tag="wholewanted"):
    """The received changes do not fit the state held (`reason`: digest or gap): a snapshot is needed."""

    reason: str


# Control process to control process. Each carries the sender's epoch; an older one is answered with `Denied`.


class Prepare(Message, frozen=True, tag="prepare"):
    """A candidate asks for the promise to accept nothing from any epoch below this one."""

    epoch: int
    instance_id: int


class Promise(Message, frozen=True, tag="promised"):
    """Answer to `Prepare`, once the promise is on disk.

    Contains the position of the newest entry that the sender holds and the highest version that it knows to
    be committed. A voter that is `joining` has lost its disk or has an old one, and does not count towards a
    majority.
    """

    epoch: int
    last_epoch: int
    last_version: int
    commit: int
    joining: bool = False


class FetchEntries(Message, frozen=True, tag="fetch"):
    """A candidate asks the voter with the newest log for the entries that follow this position."""

    epoch: int
    prev_epoch: int
    prev_version: int


class EntriesFetched(Message, frozen=True, tag="fetched"):
    """Answer to `FetchEntries`: the entries that follow the position asked for.

    A compressed snapshot comes first where those entries are no longer kept or the position is not in the
    sender's log. `has_more` says that another request is needed.
    """

    epoch: int
    changes: list[Change]
    compressed: bytes = b""
    has_more: bool = False


class AppendEntries(Message, frozen=True, tag="append"):
    """The leader's entries that follow a position, and the version up to which its log is committed.

    Without entries it is a heartbeat, or announces a new committed version.
    """

    epoch: int
    prev_epoch: int
    prev_version: int
    changes: list[Change]
    commit: int


class InstallSnapshot(Message, frozen=True, tag="install"):
    """A compressed snapshot of committed state, in place of entries that the leader no longer keeps."""

    epoch: int
    compressed: bytes
    commit: int


class EntriesAppended(Message, frozen=True, tag="appended"):
    """Everything up to this version is on the sender's disk and equals the leader's log.

    A voter that is `joining` does not count towards a majority yet.
    """

    epoch: int
    version: int
    joining: bool = False


class Mismatch(Message, frozen=True, tag="mismatch"):
    """The previous position of an `AppendEntries` is not in the sender's log: continue after this version.

    That version itself may still be one that differs; -1 asks for a snapshot.
    """

    epoch: int
    version: int


class Denied(Message, frozen=True, tag="denied"):
    """The sender has promised a higher epoch (`reason`: epoch) or could not accept the message.

    The other reasons are disk, state and lineage.
    """

    epoch: int
    reason: str = "epoch"


class AppliedReport(Message, frozen=True, tag="seen"):
    """A control process reports to the leader which versions its brokers hold.

    The first report on each connection is complete; later ones contain only the brokers that changed.
    Version -1: the broker is no longer connected there. `rejections` contains, by name, why a broker rejected
    that version.
    """

    is_complete: bool
    brokers: list[tuple[str, int, int]]  # name, instance id, version
    rejections: dict[str, str] = {}


class RegisterBrokers(Message, frozen=True, tag="register"):
    """A control process forwards registrations of its brokers that differ from the state, as operations."""

    ops: list[Op]


AnyMessage = (
    Hello
    | HelloAccepted
    | Disconnect
    | Deltas
    | CompleteSnapshot
    | Heartbeat
    | AppliedPosition
    | SnapshotRequest
    | Prepare
    | Promise
    | FetchEntries
    | EntriesFetched
    | AppendEntries
    | InstallSnapshot
    | EntriesAppended
    | Mismatch
    | Denied
    | AppliedReport
    | RegisterBrokers
)

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(AnyMessage).decode


class InvalidFrameError(Exception):
    """A frame whose body is not a valid message; its connection ends."""


def to_printable_line(text: str) -> str:
    """Return a rejection's reason as one printable line of limited length.

    The text comes from another process: it may be arbitrarily long, and may contain control characters that
    an operator's terminal would interpret.
    """
    words = " ".join(text[: 4 * MAX_REJECTION_REASON_LENGTH].split())
    return "".join(c if c.isprintable() else "?" for c in words)[:MAX_REJECTION_REASON_LENGTH]


def encode(message: Message) -> bytes:
    """Return one frame with its length prefix. Raises `ValueError` if the body exceeds `MAX_FRAME_BYTES`."""
    body = _encode(message)
    if len(body) > MAX_FRAME_BYTES:
        raise ValueError(f"frame body has {len(body)} bytes, the limit is {MAX_FRAME_BYTES}")
    return len(body).to_bytes(LENGTH_PREFIX_BYTES, "big") + body


def decode(body: bytes | memoryview) -> Message:
    """Return the message in a frame's body. Raises only `InvalidFrameError`, whatever the bytes are."""
    try:
        return _decode(body)
    except (msgspec.MsgspecError, ValueError, RecursionError) as err:
        raise InvalidFrameError(str(err)) from None
