"""Which brokers are in the state: what is forwarded to the leader, and what that proposes by itself. No I/O.

A broker that connects is registered; one that has been connected nowhere for long is removed, and so is one
whose address another one has taken. That holds only while every control process of the settings is in sight:
a leader that can't see a region's control process doesn't know who is connected there, so what it saw before
counts no more, and all absences begin anew. Times are µs on the process's own clock.
"""

from collections.abc import Collection, Iterable
from typing import NamedTuple

from cypressledge.controlplane.messages import MAX_OPS_PER_CHANGE, Op
from cypressledge.controlplane.state import FleetState
from cypressledge.controlplane.state_validation import validate_change
from cypressledge.controlplane.state_values import BROKER_PREFIX, Address, StateError, address_of

RETRY_INTERVAL_US = 1_000_000  # after which a registration is sent, or proposed, once more
MAX_REGISTRATIONS = MAX_OPS_PER_CHANGE // 2  # in one change: each may remove another key
OBSERVATION_INTERVAL_US = 1_000_000  # between looks at who is absent, where nothing is to be registered
MAX_OBSERVATION_GAP_US = 10_000_000  # without a look, after which what was seen before says nothing
# Guards against a broker that only changes its control process being taken for gone: it notices silence after
# 3.5 s, waits up to 5 for its next attempt, which may take 1.5.
DISPLACEABLE_AFTER_US = 10_000_000


class _SentRegistration(NamedTuple):
    value: bytes | None
    sent_at: int


class ResolvedRegistrations(NamedTuple):
    """The change that registers brokers, and why some of them can't be registered."""

    change: list[Op]
    rejections: list[str]


class BrokerRegistry:
    """The registrations of one control process, and while that leads, the brokers that are absent.

    `expire_after`: µs of absence after which a broker is removed; 0: never.
    """

    def __init__(self, expire_after: int) -> None:
        self.expire_after = expire_after
        self.requested: dict[str, Op] = {}  # by brokers here and, at the leader, elsewhere
        self.sent: dict[str, _SentRegistration] = {}  # by key, what was asked for last
        self.absent_since: dict[str, int] = {}  # by key, since when its broker is connected nowhere
        self.observed_at = 0
        self.expired_at = -RETRY_INTERVAL_US

    def clear(self) -> None:
        """This process begins or ends to lead."""
        self.requested.clear()
        self.sent.clear()
        self.absent_since.clear()

    def request(self, ops: Iterable[Op]) -> None:
        """Ask that connected brokers are registered where these operations say."""
        for op in ops:
            if op.key.startswith(BROKER_PREFIX) and op.value is not None:
                self.requested[op.key] = op

    def resend_all(self) -> None:
        """What was forwarded may be lost."""
        self.sent.clear()

    def take_unsent(self, now: int, state: FleetState) -> list[Op]:
        """What is requested, and neither so already nor sent a moment ago."""
        ops = [op for op in self.requested.values() if self._is_unsent(now, state, op)][:MAX_REGISTRATIONS]
        self.requested.clear()
        return ops

    def _is_unsent(self, now: int, state: FleetState, op: Op) -> bool:
        held = state.entries.get(op.key)
        if held is not None and held.value == op.value:
            self.sent.pop(op.key, None)
            return False
        sent = self.sent.get(op.key)
        return sent is None or sent.value != op.value or now - sent.sent_at >= RETRY_INTERVAL_US

    def mark_sent(self, now: int, ops: list[Op]) -> None:
        """These are forwarded, or proposed, now. Guards against names without end, too."""
        self.sent = {key: sent for key, sent in self.sent.items() if now - sent.sent_at < RETRY_INTERVAL_US}
        self.sent |= {op.key: _SentRegistration(op.value, now) for op in ops}

    # The leader alone

    def is_observation_due(self, now: int) -> bool:
        """Whether it is time to `observe`."""
        return now - self.observed_at >= OBSERVATION_INTERVAL_US

    def observe(self, now: int, state: FleetState, connected: Collection[str] | None, ops: list[Op]) -> None:
        """Keep up who is absent.

        `connected`: names of all connected brokers, none while not all control processes can be seen; `ops`:
        registrations just taken, of brokers whose connection may not have been reported yet.
        """
        if connected is None or now - self.observed_at > MAX_OBSERVATION_GAP_US:
            self.absent_since.clear()
        self.observed_at = now
        if connected is None:
            return
        registering = {op.key for op in ops}
        absent = [
            key
            for key in state.entries
            if key.startswith(BROKER_PREFIX)
            and key not in registering
            and key.removeprefix(BROKER_PREFIX) not in connected
        ]
        self.absent_since = {key: self.absent_since.get(key, now) for key in absent}

    def _is_absent_for(self, now: int, key: str, span: int) -> bool:
        return key in self.absent_since and now - self.absent_since[key] >= span

    def resolve(self, now: int, state: FleetState, ops: list[Op]) -> ResolvedRegistrations:
        """The change that registers these brokers, and removes those who are gone from their addresses.

        Guards against two brokers at one address that hold up the others. `observe` with the same operations
        comes before: after that nobody is removed whom they name.
        """
        try:
            change = [*self._displaced(now, state, ops), *ops]
            validate_change(state, change)
            return ResolvedRegistrations(change, [])
        except StateError:
            return self._resolve_one_by_one(now, state, ops)

    def _resolve_one_by_one(self, now: int, state: FleetState, ops: list[Op]) -> ResolvedRegistrations:
        change: list[Op] = []
        rejections: list[str] = []
        claimed: dict[Address | None, str] = {}
        for op in ops:
            try:
                part = [*self._displaced(now, state, [op]), op]
                validate_change(state, part)
                other = claimed.setdefault(_address(op), op.key)
                if other != op.key:
                    raise StateError(f"{op.key} is at the address of {other}")
                change += part
            except StateError as err:
                rejections.append(str(err))
        return ResolvedRegistrations(change, rejections)

    def _displaced(self, now: int, state: FleetState, ops: list[Op]) -> list[Op]:
        """Removals of those at whose address one of these brokers is. Raises `StateError`."""
        registering = {op.key for op in ops}
        key_at = state.addresses()
        addresses = [_address(op) for op in ops]
        holders = dict.fromkeys(key_at.get(address) for address in addresses if address is not None)
        return [
            Op(key)
            for key in holders
            if key is not None
            and key not in registering
            and self._is_absent_for(now, key, DISPLACEABLE_AFTER_US)
        ]

    def expired(self, now: int, state: FleetState) -> list[Op]:
        """Removals of those absent for too long, once a second at the most."""
        if not self.expire_after or now - self.expired_at < RETRY_INTERVAL_US:
            return []
        ops = [
            Op(key)
            for key in self.absent_since
            if key in state.entries and self._is_absent_for(now, key, self.expire_after)
        ][:MAX_OPS_PER_CHANGE]
        if ops:
            self.expired_at = now
        return ops


def _address(op: Op) -> Address | None:
    """Where an operation puts a broker. Raises `StateError`."""
    return None if op.value is None else address_of(op.key, op.value)
