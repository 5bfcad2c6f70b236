"""The fleet's state: keys, typed engines and brokers, its digest, and what a change may do to it. No I/O.

The digest is a sum, modulo 2^128, of a hash of each (key, value, version): a change costs what it touches.
Method: incremental hashing, Bellare and Micciancio (1997). It finds faults; it holds off no forger.
"""

import json
import re
from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b
from typing import Annotated, Literal, NamedTuple

import msgspec

from cypressledge.config import ConfigError, parse_address
from cypressledge.controlplane.messages import (
    MAX_CHANGE_BYTES,
    MAX_OPS_PER_CHANGE,
    Change,
    Op,
    Snapshot,
    StateEntry,
)
from cypressledge.settings import SettingsError, parse_settings

KEY_PATTERN = re.compile(
    r"(config|engine|broker)/[A-Za-z0-9][A-Za-z0-9_.-]{0,63}"
)  # names as in fleet.settings.Name
MAX_STATE_BYTES = 3 << 20  # bytes of all keys and values: guards against a snapshot that fits in no frame
MAX_REMEMBERED_REQUESTS = 512  # requests whose repeat is known
MAX_REMEMBERED_REMOVALS = 4_096  # removed keys whose version is still known
MAX_TEXT_LENGTH = 512  # characters of a request's name, of who and of why
ENTRY_OVERHEAD_BYTES = 32  # bytes that an entry takes in a snapshot beside key and value, at most
BASE_TOO_OLD = "base too old"
BASE_NOT_YET = "base not yet reached"

ShortText = Annotated[str, msgspec.Meta(max_length=64)]
Count = Annotated[int, msgspec.Meta(ge=0, le=1 << 53)]


class Position(NamedTuple):
    """A position of the replicated log: its version, and the epoch that version was written in."""

    epoch: int
    version: int


class StateError(ValueError):
    """A change, value or snapshot that can't be taken: one plain line."""


class Engine(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One engine. `address`: HOST:PORT; `kind` and `zone` by the names in the settings; `born_ms`: wall clock
    of its start, ms, 0 where it isn't known."""

    address: str
    kind: ShortText = ""
    zone: ShortText = ""
    cell: Count = 0
    state: Literal["ready", "draining"] = "ready"
    born_ms: Count = 0


class Broker(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One broker. `address`: HOST:PORT of its fleet socket."""

    address: str
    zone: ShortText = ""
    region: ShortText = ""


_encode = msgspec.msgpack.Encoder(order="sorted").encode
_decode = msgspec.msgpack.Decoder().decode
_typed = {"engine": msgspec.msgpack.Decoder(Engine).decode, "broker": msgspec.msgpack.Decoder(Broker).decode}


def encode_value(value: object) -> bytes:
    """The one encoding of plain data (or of an `Engine` or `Broker`): MessagePack, keys sorted. Raises
    `StateError`."""
    try:
        return _encode(value)
    except (msgspec.MsgspecError, TypeError, ValueError, OverflowError, RecursionError) as err:
        raise StateError(f"not plain data: {err}") from None


def decode_value(raw: bytes) -> object:
    """What `canonical` encoded. Raises `StateError`."""
    try:
        return _decode(raw)
    except (msgspec.MsgspecError, TypeError, ValueError, RecursionError) as err:
        raise StateError(f"not MessagePack: {err}") from None


def _term(key: str, value: bytes, version: int) -> int:
    """A key's part of the digest's sum."""
    return int.from_bytes(blake2b(_encode((key, value, version)), digest_size=16).digest(), "big")


def _sum(entries: Iterable[StateEntry]) -> int:
    return sum(_term(e.key, e.value, e.version) for e in entries) % (1 << 128)


def address_of(key: str, value: bytes) -> tuple[str, str, int] | None:
    """(kind, host, port) of an engine's or broker's key; none for the others. Raises `StateError`."""
    kind = key.partition("/")[0]
    if kind not in _typed:
        return None
    try:
        host, port = parse_address(_typed[kind](value).address)
    except (msgspec.MsgspecError, ConfigError, ValueError, RecursionError) as err:
        raise StateError(f"{key}: {err}") from None
    # Guards against an address that nobody can connect to.
    if not host or not port or not host.isprintable() or " " in host or len(host) > 253:
        raise StateError(f"{key}: no HOST:PORT that can be connected to")
    return kind, host.lower(), port


class FleetState:
    """The state at a position. `entries` are read by others, written here alone."""

    def __init__(self, lineage: str = "") -> None:
        self.cluster_id = lineage
        self.epoch = 0
        self.version = 0
        self.entries: dict[str, StateEntry] = {}
        self.requests: dict[str, int] = {}  # name -> version, oldest first
        self.removed: dict[str, int] = {}  # key -> version that removed it, oldest first
        self.removed_since = 0  # removals of later versions are all in `removed`
        self.size = 0  # bytes of all entries
        self._sum = 0
        self._addresses: dict[tuple[str, str, int], str] | None = (
            None  # who is where, from the first check on
        )
        self._address_of: dict[str, tuple[str, str, int]] = {}

    @property
    def position(self) -> Position:
        """Epoch and version of the last change applied."""
        return Position(self.epoch, self.version)

    @property
    def digest(self) -> bytes:
        """Of all keys, values and versions that set them; 16 bytes."""
        return self._sum.to_bytes(16, "big")

    def version_of_request(self, request: str) -> int | None:
        """The version that a named request became; none where it isn't among the last `REQUESTS_MOST`."""
        return self.requests.get(request) if request else None

    def draft_change(
        self, epoch: int, ops: list[Op], request: str = "", who: str = "", why: str = "", at: int = 0
    ) -> Change:
        """The next change under an epoch, with the digest after it; the state stays as it is. Looks at the
        touched keys only: `check` and `clashes` come before. `at`: wall clock, ms. Raises `StateError`."""
        version = self.version + 1
        digest = self._sum_after(ops, version).to_bytes(16, "big")
        change = Change(epoch, version, list(ops), digest, request, who, why, at)
        self._next(change)
        return change

    def apply(self, change: Change) -> None:
        """Take the next change. Raises `StateError`, and changes nothing, where it doesn't fit."""
        self._next(change)
        after = self._sum_after(change.ops, change.version)
        if after.to_bytes(16, "big") != change.digest:
            raise StateError(f"version {change.version}: the digest differs")
        self.epoch, self.version, self._sum = change.epoch, change.version, after
        for op in change.ops:
            self._set(op, change.version)
        if change.request_id:
            self._remember(change.request_id, change.version)

    def _next(self, change: Change) -> None:
        """Raises `StateError` where a change can't be the next one."""
        if change.version != self.version + 1:
            raise StateError(f"version {change.version} does not follow {self.version}")
        if change.epoch < self.epoch:
            raise StateError(f"epoch {change.epoch} is below {self.epoch}")
        if max(len(change.request_id), len(change.author), len(change.reason)) > MAX_TEXT_LENGTH:
            raise StateError(f"a request's name, who or why is over {MAX_TEXT_LENGTH} characters")
        _sizes(change.ops)
        keys = {op.key for op in change.ops}
        if len(keys) < len(change.ops):
            raise StateError("a key is named twice in one change")

    def _sum_after(self, ops: list[Op], version: int) -> int:
        total = self._sum
        for op in ops:
            if old := self.entries.get(op.key):
                total -= _term(old.key, old.value, old.version)
            if op.value is not None:
                total += _term(op.key, op.value, version)
        return total % (1 << 128)

    def _set(self, op: Op, version: int) -> None:
        old = self.entries.pop(op.key, None)
        if old:
            self.size -= _size(old.key, old.value)
        self.removed.pop(op.key, None)
        if op.value is not None:
            self.entries[op.key] = StateEntry(op.key, op.value, version)
            self.size += _size(op.key, op.value)
        elif old:
            self.removed[op.key] = version
            self._bound_removed()
        if self._addresses is not None:
            self._index(op.key, op.value)

    def _bound_removed(self) -> None:
        """Guards against memory that grows with each key ever removed."""
        while len(self.removed) > MAX_REMEMBERED_REMOVALS:
            oldest = next(iter(self.removed))
            self.removed_since = self.removed.pop(oldest)

    def _remember(self, request: str, version: int) -> None:
        self.requests.pop(request, None)
        self.requests[request] = version
        while len(self.requests) > MAX_REMEMBERED_REQUESTS:
            del self.requests[next(iter(self.requests))]

    def _index(self, key: str, value: bytes | None) -> None:
        """Keep `_places` up. A committed value that can't be read holds no place: replicas stay equal."""
        was = self._address_of.pop(key, None)
        if was and self._addresses.get(was) == key:
            del self._addresses[was]
        try:
            place = None if value is None else address_of(key, value)
        except StateError:
            return
        if place:
            self._addresses[place], self._address_of[key] = key, place

    def addresses(self) -> dict[tuple[str, str, int], str]:
        """Whose key is at which (kind, host, port)."""
        if self._addresses is None:
            self._addresses = {}
            for entry in self.entries.values():
                self._index(entry.key, entry.value)
        return self._addresses

    def snapshot(self) -> Snapshot:
        """The whole, keys sorted: equal states make equal snapshots."""
        return Snapshot(
            self.cluster_id,
            self.epoch,
            self.version,
            self.digest,
            sorted(self.entries.values(), key=lambda e: e.key),
            list(self.requests.items()),
        )

    @classmethod
    def restore(cls, snapshot: Snapshot) -> "FleetState":
        """A state from a snapshot. Raises `StateError` where the digest is not that of the entries."""
        state = cls(snapshot.cluster_id)
        state.epoch, state.version = snapshot.epoch, snapshot.version
        state.entries = {e.key: e for e in snapshot.entries}
        if len(state.entries) < len(snapshot.entries):
            raise StateError("snapshot: a key is there twice")
        if min(snapshot.epoch, snapshot.version) < 0 or len(snapshot.requests) > MAX_REMEMBERED_REQUESTS:
            raise StateError("snapshot: no position of a history, or too many requests")
        if not all(0 < e.version <= snapshot.version for e in snapshot.entries):
            raise StateError("snapshot: a key is newer than the whole")
        state._sum = _sum(snapshot.entries)
        if state.digest != snapshot.digest:
            raise StateError("snapshot: the digest differs")
        state.size = sum(_size(e.key, e.value) for e in snapshot.entries)
        state.requests = dict(snapshot.requests)
        state.removed_since = snapshot.version  # what was removed before isn't in a snapshot
        return state

    def verify(self) -> bool:
        """Whether the entries still sum to the digest: looks at all of them; guards against spoilt memory."""
        return _sum(self.entries.values()) == self._sum

    def copy(self) -> "FleetState":
        """Another state, equal to this one, that goes its own way."""
        other = FleetState(self.cluster_id)
        vars(other).update(
            {name: value.copy() if isinstance(value, dict) else value for name, value in vars(self).items()}
        )
        return other

    def config(self) -> dict:
        """The sections of the brokers' settings, by name."""
        return {
            key[7:]: decode_value(e.value) for key, e in self.entries.items() if key.startswith("config/")
        }

    def engines(self) -> dict[str, Engine]:
        """By name. Raises `StateError` where one can't be read."""
        return self._read("engine")

    def brokers(self) -> dict[str, Broker]:
        """By name. Raises `StateError` where one can't be read."""
        return self._read("broker")

    def _read(self, kind: str) -> dict:
        start, decode = f"{kind}/", _typed[kind]
        try:
            return {
                key[len(start) :]: decode(e.value) for key, e in self.entries.items() if key.startswith(start)
            }
        except (msgspec.MsgspecError, RecursionError) as err:
            raise StateError(f"a value of {kind}s: {err}") from None


def _size(key: str, value: bytes) -> int:
    return len(key) + len(value) + ENTRY_OVERHEAD_BYTES


def _sizes(ops: list[Op]) -> None:
    """Raises `StateError` where a change is over its limits."""
    if len(ops) > MAX_OPS_PER_CHANGE:
        raise StateError(f"{len(ops)} keys in one change; {MAX_OPS_PER_CHANGE} can be")
    size = sum(_size(op.key, op.value or b"") for op in ops)
    if size > MAX_CHANGE_BYTES:
        raise StateError(f"a change of {size} bytes; {MAX_CHANGE_BYTES} can be")


def validate_change(state: FleetState, ops: list[Op]) -> None:
    """The whole state after a change, looked at before it is taken. Raises `StateError` with what is wrong:
    keys, sizes, values, two engines or two brokers at one address, settings that aren't complete."""
    _sizes(ops)
    _check_keys(ops)
    size = state.size
    for op in ops:
        old = state.entries.get(op.key)
        size -= _size(old.key, old.value) if old else 0
        size += _size(op.key, op.value) if op.value is not None else 0
        if op.value is not None and encode_value(decode_value(op.value)) != op.value:
            raise StateError(f"{op.key}: its value is not in the canonical encoding")
    if size > MAX_STATE_BYTES:
        raise StateError(f"the state would have {size} bytes; {MAX_STATE_BYTES} can be")
    _check_places(state, ops)
    if any(op.key.startswith("config/") for op in ops):
        _check_config(state, ops)


def _check_keys(ops: list[Op]) -> None:
    seen = set()
    for op in ops:
        if not KEY_PATTERN.fullmatch(op.key):
            raise StateError(f"no key of the state: {op.key[:80]!r}")
        if op.key in seen:
            raise StateError(f"{op.key} is named twice in one change")
        seen.add(op.key)


def _check_places(state: FleetState, ops: list[Op]) -> None:
    touched, places, new = {op.key for op in ops}, state.addresses(), {}
    for op in ops:
        place = None if op.value is None else address_of(op.key, op.value)
        if place is None:
            continue
        other = new.get(place) or places.get(place)
        # Those that the same change moves or removes are no clash: two engines may change places.
        if other and (place in new or other not in touched):
            raise StateError(f"{op.key} is at the address of {other}")
        new[place] = op.key


def _check_config(state: FleetState, ops: list[Op]) -> None:
    """Raises `StateError` unless the sections are complete settings, as a broker reads them, or none."""
    raw = {key: e.value for key, e in state.entries.items() if key.startswith("config/")}
    raw |= {op.key: op.value for op in ops if op.key.startswith("config/")}
    s = {key[7:]: decode_value(value) for key, value in raw.items() if value is not None}
    if not s:
        return
    try:
        json.dumps(s, allow_nan=False)  # guards against what no configuration file could hold
        parse_settings(s)
        _check_names([k["Name"] for k in s["Classes"]], "class")
        _check_names(list(s["Skus"]), "kind")
        _check_names(list(s["Dcs"]), "zone")
        _check_names([t["Name"] for t in s.get("Customers", ())], "customer")
        if min(s["Limits"][name] for name in ("StreamsPerConn", "ConnectTimeout", "ConnIdle")) <= 0:
            raise StateError("a limit is not above 0")
    except KeyError as err:
        raise StateError(f"config: settings lack {err}") from None
    except (SettingsError, StateError, TypeError, ValueError, AttributeError, RecursionError) as err:
        raise StateError(f"config: {' '.join(str(err).split())}") from None


def _check_names(names: list, what: str) -> None:
    for name in names:
        if not isinstance(name, str) or not name:
            raise StateError(f"a {what} has no name")
    if len(set(names)) < len(names):
        raise StateError(f"a {what} is named twice")


@dataclass(frozen=True, slots=True)
class _Since:
    """What changed after a version, as far as the state knows."""

    state: FleetState
    base: int

    def changed(self, key: str) -> bool:
        entry = self.state.entries.get(key)
        return (entry.version if entry else self.state.removed.get(key, 0)) > self.base

    def unsure(self, key: str) -> bool:
        """A key that isn't there may have been removed before the removals known begin."""
        return key not in self.state.entries and self.base < self.state.removed_since


def find_conflicts(state: FleetState, base_version: int, ops: list[Op]) -> list[str]:
    """The touched keys that were set or removed after the version that a request was made on; for a config
    key, any config key: sections are checked together. `BASE_TOO_OLD` where the state no longer knows,
    `BASE_NOT_YET` for a version it hasn't. Empty: none."""
    if base_version > state.version:
        return [BASE_NOT_YET]
    since, keys = _Since(state, base_version), {op.key for op in ops}
    config = any(key.startswith("config/") for key in keys)
    if config:
        keys |= {key for key in (*state.entries, *state.removed) if key.startswith("config/")}
    found = sorted(key for key in keys if since.changed(key))
    unsure = config and base_version < state.removed_since or any(since.unsure(key) for key in keys)
    return [*found, BASE_TOO_OLD] if unsure else found
