"""The fleet's state at a position of the replicated log, and its digest. No I/O.

The digest is the sum, modulo 2^128, of a hash of each (key, value, version that set it), so the cost of an
update depends only on the keys that a change touches. The method is incremental hashing (Bellare and
Micciancio, 1997). The digest detects faults but does not withstand forgery.
"""

from collections.abc import Iterable, Mapping
from hashlib import blake2b
from typing import NamedTuple

import msgspec

from cypressledge.controlplane.messages import (
    MAX_CHANGE_BYTES,
    MAX_OPS_PER_CHANGE,
    Change,
    Op,
    Snapshot,
    StateEntry,
)
from cypressledge.controlplane.state_values import (
    BROKER_PREFIX,
    CONFIG_PREFIX,
    ENGINE_PREFIX,
    Address,
    Broker,
    Engine,
    StateError,
    address_of,
    decode_broker,
    decode_engine,
    decode_value,
)

MAX_REMEMBERED_REQUESTS = 512  # request ids whose repetition is recognised
MAX_REMEMBERED_REMOVALS = 4_096  # removed keys whose version is still known
MAX_TEXT_LENGTH = 512  # characters of a request id, an author or a reason
ENTRY_OVERHEAD_BYTES = 32  # bytes; maximum size of an entry in a snapshot besides its key and value
DIGEST_BYTES = 16

_encode = msgspec.msgpack.Encoder(order="sorted").encode


class Position(NamedTuple):
    """A position in the replicated log: a version and the epoch in which it was written."""

    epoch: int
    version: int


class DigestPosition(NamedTuple):
    """A position and the digest of the state there; equal ones belong to the same history."""

    epoch: int
    version: int
    digest: bytes

    @property
    def position(self) -> Position:
        """The position without the digest."""
        return Position(self.epoch, self.version)


def _digest_term(key: str, value: bytes, version: int) -> int:
    """Return a key's term in the digest's sum."""
    return int.from_bytes(blake2b(_encode((key, value, version)), digest_size=DIGEST_BYTES).digest(), "big")


def _digest_sum(entries: Iterable[StateEntry]) -> int:
    return sum(_digest_term(e.key, e.value, e.version) for e in entries) % (1 << 8 * DIGEST_BYTES)


def entry_size(key: str, value: bytes) -> int:
    """Return the number of bytes that an entry counts for."""
    return len(key) + len(value) + ENTRY_OVERHEAD_BYTES


def check_change_size(ops: list[Op]) -> None:
    """Raise `StateError` if a change has too many operations or bytes."""
    if len(ops) > MAX_OPS_PER_CHANGE:
        raise StateError(f"{len(ops)} keys in one change; {MAX_OPS_PER_CHANGE} can be")
    size = sum(entry_size(op.key, op.value or b"") for op in ops)
    if size > MAX_CHANGE_BYTES:
        raise StateError(f"a change of {size} bytes; {MAX_CHANGE_BYTES} can be")


class FleetState:
    """The fleet's state at a position.

    Other modules read `entries`, `requests` and `removed`; only this class modifies them.
    """

    def __init__(self, cluster_id: str = "") -> None:
        self.cluster_id = cluster_id
        self.epoch = 0
        self.version = 0
        self.entries: dict[str, StateEntry] = {}
        self.requests: dict[str, int] = {}  # request id -> version it became, oldest first
        self.removed: dict[str, int] = {}  # key -> version that removed it, oldest first
        self.removals_known_since = 0  # `removed` contains all removals of later versions
        self.size_bytes = 0  # total size of all entries
        self._digest_sum = 0
        self._key_by_address: dict[Address, str] | None = None  # None until the first call of `addresses`
        self._address_by_key: dict[str, Address] = {}

    @property
    def position(self) -> Position:
        """The epoch and version of the last change applied."""
        return Position(self.epoch, self.version)

    @property
    def digest_position(self) -> DigestPosition:
        """The position with the digest of the state."""
        return DigestPosition(self.epoch, self.version, self.digest)

    @property
    def digest(self) -> bytes:
        """The digest of all keys, values and versions that set them; 16 bytes."""
        return self._digest_sum.to_bytes(DIGEST_BYTES, "big")

    # Changes

    def version_of_request(self, request_id: str) -> int | None:
        """Return the version that a request became, None unless among the last `MAX_REMEMBERED_REQUESTS`."""
        return self.requests.get(request_id) if request_id else None

    def draft_change(
        self,
        epoch: int,
        ops: list[Op],
        request_id: str = "",
        author: str = "",
        reason: str = "",
        created_at_ms: int = 0,
    ) -> Change:
        """Return the next change, of epoch `epoch`, with the digest after it; the state does not change.

        Looks only at the touched keys: the caller has to run `validate_change` and `find_conflicts` before.
        Raises `StateError`.
        """
        version = self.version + 1
        digest = self._digest_sum_after(ops, version).to_bytes(DIGEST_BYTES, "big")
        change = Change(epoch, version, list(ops), digest, request_id, author, reason, created_at_ms)
        self._check_is_next(change)
        return change

    def apply(self, change: Change) -> None:
        """Apply the next change. Raises `StateError` and changes nothing if it does not fit."""
        self._check_is_next(change)
        digest_sum = self._digest_sum_after(change.ops, change.version)
        if digest_sum.to_bytes(DIGEST_BYTES, "big") != change.digest:
            raise StateError(f"version {change.version}: its digest does not match the resulting state")
        self.epoch, self.version, self._digest_sum = change.epoch, change.version, digest_sum
        for op in change.ops:
            self._apply_op(op, change.version)
        if change.request_id:
            self._remember_request(change.request_id, change.version)

    def _check_is_next(self, change: Change) -> None:
        """Raise `StateError` unless a change can be the next one."""
        if change.version != self.version + 1:
            raise StateError(f"version {change.version} does not follow version {self.version}")
        if change.epoch < self.epoch:
            raise StateError(f"epoch {change.epoch} is below the state's epoch {self.epoch}")
        if max(len(change.request_id), len(change.author), len(change.reason)) > MAX_TEXT_LENGTH:
            raise StateError(f"a request's name, who or why is over {MAX_TEXT_LENGTH} characters")
        check_change_size(change.ops)
        keys = {op.key for op in change.ops}
        if len(keys) < len(change.ops):
            raise StateError("a key is named twice in one change")

    def _digest_sum_after(self, ops: list[Op], version: int) -> int:
        total = self._digest_sum
        for op in ops:
            if previous := self.entries.get(op.key):
                total -= _digest_term(previous.key, previous.value, previous.version)
            if op.value is not None:
                total += _digest_term(op.key, op.value, version)
        return total % (1 << 8 * DIGEST_BYTES)

    def _apply_op(self, op: Op, version: int) -> None:
        previous = self.entries.pop(op.key, None)
        if previous:
            self.size_bytes -= entry_size(previous.key, previous.value)
        self.removed.pop(op.key, None)
        if op.value is not None:
            self.entries[op.key] = StateEntry(op.key, op.value, version)
            self.size_bytes += entry_size(op.key, op.value)
        elif previous:
            self.removed[op.key] = version
            self._evict_old_removals()
        if self._key_by_address is not None:
            self._index_address(self._key_by_address, op.key, op.value)

    def _evict_old_removals(self) -> None:
        """Forget the oldest removals, so that memory does not grow with each key ever removed."""
        while len(self.removed) > MAX_REMEMBERED_REMOVALS:
            oldest = next(iter(self.removed))
            self.removals_known_since = self.removed.pop(oldest)

    def _remember_request(self, request_id: str, version: int) -> None:
        self.requests.pop(request_id, None)
        self.requests[request_id] = version
        while len(self.requests) > MAX_REMEMBERED_REQUESTS:
            del self.requests[next(iter(self.requests))]

    # Addresses

    def addresses(self) -> Mapping[Address, str]:
        """Return the keys of all engines and brokers by address."""
        if self._key_by_address is None:
            self._key_by_address = {}
            for entry in self.entries.values():
                self._index_address(self._key_by_address, entry.key, entry.value)
        return self._key_by_address

    def _index_address(self, key_by_address: dict[Address, str], key: str, value: bytes | None) -> None:
        """Update the index of addresses for one key.

        A committed value that cannot be decoded has no address, so that all replicas handle it the same way.
        """
        previous = self._address_by_key.pop(key, None)
        if previous and key_by_address.get(previous) == key:
            del key_by_address[previous]
        try:
            address = None if value is None else address_of(key, value)
        except StateError:
            return
        if address:
            key_by_address[address], self._address_by_key[key] = key, address

    # Snapshots

    def snapshot(self) -> Snapshot:
        """Return the complete state with sorted keys, so that equal states make equal snapshots."""
        return Snapshot(
            self.cluster_id,
            self.epoch,
            self.version,
            self.digest,
            sorted(self.entries.values(), key=lambda entry: entry.key),
            list(self.requests.items()),
        )

    @classmethod
    def restore(cls, snapshot: Snapshot) -> "FleetState":
        """Return the state in a snapshot. Raises `StateError` if the snapshot or its digest is invalid."""
        state = cls(snapshot.cluster_id)
        state.epoch, state.version = snapshot.epoch, snapshot.version
        state.entries = {entry.key: entry for entry in snapshot.entries}
        if len(state.entries) < len(snapshot.entries):
            raise StateError("snapshot: it contains a key more than once")
        if min(snapshot.epoch, snapshot.version) < 0 or len(snapshot.requests) > MAX_REMEMBERED_REQUESTS:
            raise StateError(
                f"snapshot: epoch {snapshot.epoch} or version {snapshot.version} is negative, or it has over "
                f"{MAX_REMEMBERED_REQUESTS} requests"
            )
        if not all(0 < entry.version <= snapshot.version for entry in snapshot.entries):
            raise StateError(f"snapshot: a key's version is not between 1 and {snapshot.version}")
        state._digest_sum = _digest_sum(snapshot.entries)
        if state.digest != snapshot.digest:
            raise StateError("snapshot: the digest does not match the entries")
        state.size_bytes = sum(entry_size(entry.key, entry.value) for entry in snapshot.entries)
        state.requests = dict(snapshot.requests)
        state.removals_known_since = snapshot.version  # a snapshot does not contain removals
        return state

    def digest_matches(self) -> bool:
        """Return whether the digest still matches all entries; if not, memory is corrupted."""
        return _digest_sum(self.entries.values()) == self._digest_sum

    def copy(self) -> "FleetState":
        """Return an independent copy of this state."""
        other = FleetState(self.cluster_id)
        vars(other).update(
            {name: value.copy() if isinstance(value, dict) else value for name, value in vars(self).items()}
        )
        return other

    # Typed access

    def config(self) -> dict[str, object]:
        """Return the sections of the brokers' settings by name."""
        return {
            key.removeprefix(CONFIG_PREFIX): decode_value(entry.value)
            for key, entry in self.entries.items()
            if key.startswith(CONFIG_PREFIX)
        }

    def engines(self) -> Mapping[str, Engine]:
        """Return the engines by name. Raises `StateError` if one cannot be decoded."""
        return {name: decode_engine(value) for name, value in self._values(ENGINE_PREFIX)}

    def brokers(self) -> Mapping[str, Broker]:
        """Return the brokers by name. Raises `StateError` if one cannot be decoded."""
        return {name: decode_broker(value) for name, value in self._values(BROKER_PREFIX)}

    def _values(self, prefix: str) -> Iterable[tuple[str, bytes]]:
        return (
            (key.removeprefix(prefix), entry.value)
            for key, entry in self.entries.items()
            if key.startswith(prefix)
        )
