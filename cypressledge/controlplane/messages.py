"""What control processes, brokers and operators say to each other (msgspec, MessagePack). No I/O.

Frames over TCP: four bytes of length (big endian), then one message. `Change` is also what is kept on disk.
A position is (epoch, version): the version numbers the history, the epoch is the token of the lease under
which that version was written.
"""

from typing import Literal

import msgspec

FORMAT = 1  # of this set of messages; the first frame says it, another one ends it
FRAME_MOST = 4 << 20  # bytes of one frame
OPS_MOST = 2_000  # keys that one change may touch
CHANGE_MOST = 512 << 10  # bytes of one change
DELTA_BYTES = 128 << 10  # of changes in one Deltas or Append, but for a single larger change
REFUSED_MOST = 200  # characters of why a broker has turned settings down


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Anything that a frame carries."""


class Op(msgspec.Struct, frozen=True, array_like=True):
    """One key set or, with no value, removed. Keys: `config/SECTION`, `engine/NAME`, `broker/NAME`. The
    value is the canonical encoding (`state.canonical`) of plain data."""

    key: str
    value: bytes | None = None


class Change(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the history. `digest`: of the whole state after it. `request`: who asked for it names it,
    so that a repeat is known; empty for what the primary does by itself. `at`: the primary's wall clock,
    ms: to be read by people, decides nothing."""

    epoch: int
    version: int
    ops: list[Op]
    digest: bytes
    request: str = ""
    who: str = ""
    why: str = ""
    at: int = 0


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One key of a snapshot: its value and the version that set it."""

    key: str
    value: bytes
    version: int


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """The whole state at a position. `requests`: the last requests, oldest first, and the versions they
    became."""

    lineage: str
    epoch: int
    version: int
    digest: bytes
    entries: list[Entry]
    requests: list[tuple[str, int]]


# Every connection


class Hello(Message, frozen=True, tag="hello"):
    """First frame of whoever connects. `role`: control, broker. A broker says where it is, what it holds, and
    why it has turned that down (see Have)."""

    format: int
    role: Literal["control", "broker"]
    name: str
    run: int
    lineage: str = ""  # of the history held; empty: none yet
    epoch: int = 0
    version: int = 0
    digest: bytes = b""
    address: str = ""  # a broker's fleet socket, HOST:PORT; empty: it is not to be registered
    zone: str = ""
    region: str = ""
    refused: str = ""


class Welcome(Message, frozen=True, tag="welcome"):
    """The answer: this connection is taken. `run` names the control process's life."""

    name: str
    run: int
    lineage: str


class Goodbye(Message, frozen=True, tag="goodbye"):
    """This connection ends, and why: format, lineage, full, replaced, silent, nonsense, stopping. `after_ms`:
    come again no sooner."""

    why: str
    after_ms: int = 0


# Control processes to brokers


class Deltas(Message, frozen=True, tag="deltas"):
    """Committed changes that follow what the broker said it holds, in order."""

    changes: list[Change]


class Whole(Message, frozen=True, tag="whole"):
    """A committed snapshot: zlib over the encoded `Snapshot`, made once for all brokers at a version."""

    packed: bytes


class Beat(Message, frozen=True, tag="beat"):
    """The newest committed position that this control process knows, and how long ago it last heard of a
    primary (-1: never), ms. Sent when nothing else was for a while."""

    epoch: int
    version: int
    digest: bytes
    primary: str
    silent_ms: int


# Brokers to control processes


class Have(Message, frozen=True, tag="have"):
    """What the broker holds now. Also the leave to send the next Deltas: one is out at a time. `refused`: why
    the broker's own process has turned some of it down, one short line; empty: all of it is in force."""

    epoch: int
    version: int
    digest: bytes
    refused: str = ""


class WholeWanted(Message, frozen=True, tag="wholewanted"):
    """What came doesn't fit what is held (`why`: digest, gap): the broker asks for a snapshot."""

    why: str


# Between control processes: each carries the sender's epoch; an older one is answered with Denied


class Prepare(Message, frozen=True, tag="prepare"):
    """A new primary asks for a promise: take nothing from any epoch below this."""

    epoch: int
    run: int


class Promised(Message, frozen=True, tag="promised"):
    """The promise is on disk. The newest entry that the sender holds, and the highest version that it knows
    to be committed. `joining`: the sender has lost its disk or was put back, and does not count."""

    epoch: int
    last_epoch: int
    last_version: int
    commit: int
    joining: bool = False


class Fetch(Message, frozen=True, tag="fetch"):
    """A new primary takes in the history of whoever had the newest: what follows this version."""

    epoch: int
    prev_epoch: int
    prev_version: int


class Fetched(Message, frozen=True, tag="fetched"):
    """The answer to Fetch: changes from `prev` on, or a snapshot first where those are no longer kept or
    `prev` is not in the sender's history. `more`: ask again."""

    epoch: int
    changes: list[Change]
    packed: bytes = b""
    more: bool = False


class Append(Message, frozen=True, tag="append"):
    """The primary's entries after `prev`, what is committed, and, without entries, a sign of life."""

    epoch: int
    prev_epoch: int
    prev_version: int
    changes: list[Change]
    commit: int


class Install(Message, frozen=True, tag="install"):
    """A snapshot in place of entries that the primary no longer keeps (see Whole), committed."""

    epoch: int
    packed: bytes
    commit: int


class Appended(Message, frozen=True, tag="appended"):
    """All up to this version is on the sender's disk and matches the primary's. `joining`: does not count
    yet."""

    epoch: int
    version: int
    joining: bool = False


class Mismatch(Message, frozen=True, tag="mismatch"):
    """`prev` is not in the sender's history: begin again behind this version, which may be."""

    epoch: int
    version: int


class Denied(Message, frozen=True, tag="denied"):
    """The sender has promised a higher epoch, or its disk does not take more (`why`: epoch, disk)."""

    epoch: int
    why: str = "epoch"


class Seen(Message, frozen=True, tag="seen"):
    """A control process tells the primary what its brokers hold: changed ones only; all of them first after a
    connection (`all`). Version -1: no longer connected here. `refused`: of those that are named, who has
    turned that version down, and why."""

    all: bool
    brokers: list[tuple[str, int, int]]  # name, run, version
    refused: dict[str, str] = {}


class Register(Message, frozen=True, tag="register"):
    """A control process passes on that a broker is at another place than the state says: key and value."""

    ops: list[Op]


Messages = (
    Hello
    | Welcome
    | Goodbye
    | Deltas
    | Whole
    | Beat
    | Have
    | WholeWanted
    | Prepare
    | Promised
    | Fetch
    | Fetched
    | Append
    | Install
    | Appended
    | Mismatch
    | Denied
    | Seen
    | Register
)

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Messages).decode


def one_line(text: str) -> str:
    """Why settings were turned down, fit to be sent and shown: guards against text without end, and against
    what would steer an operator's terminal."""
    words = " ".join(text[: 4 * REFUSED_MOST].split())
    return "".join(c if c.isprintable() else "?" for c in words)[:REFUSED_MOST]


class Unreadable(Exception):
    """A frame that is no message; its connection ends."""


def encode(message: Message) -> bytes:
    """One frame, length and all. Raises `ValueError` over `FRAME_MOST`."""
    body = _encode(message)
    if len(body) > FRAME_MOST:
        raise ValueError(f"a frame of {len(body)} bytes")
    return len(body).to_bytes(4, "big") + body


def decode(body: bytes | memoryview) -> Message:
    """The message of one frame's body. Raises `Unreadable`, and nothing else, whatever the bytes are."""
    try:
        return _decode(body)
    except (msgspec.MsgspecError, ValueError, RecursionError) as err:
        raise Unreadable(str(err)) from None
