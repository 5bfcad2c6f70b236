"""Registers brokers in the state and removes absent ones, through changes of the leader. No I/O.

A broker that connects is registered; the other control processes forward registrations to the leader. A
broker that has not been connected to any control process for long is removed, and so is an absent one whose
address another broker has taken. Brokers are removed only while the leader can reach every control process of
the settings: without one of them it doesn't know which brokers are connected there. All absence times then
start anew. Times are µs on the process's own clock.
"""

from collections.abc import Collection, Iterable
from typing import NamedTuple

from cypressledge.controlplane.messages import MAX_OPS_PER_CHANGE, Op
from cypressledge.controlplane.state import FleetState
from cypressledge.controlplane.state_validation import validate_change
from cypressledge.controlplane.state_values import BROKER_PREFIX, Address, StateError, address_of

RETRY_INTERVAL_US = 1_000_000  # µs; time until a registration is forwarded or proposed again
MAX_REGISTRATIONS = MAX_OPS_PER_CHANGE // 2  # in one change; each registration may also remove another key
OBSERVATION_INTERVAL_US = 1_000_000  # µs; time between checks for absent brokers without registrations
MAX_OBSERVATION_GAP_US = 10_000_000  # µs without a check; after that, earlier absences no longer count
# µs; absence after which another broker may take the address. A broker that only switches to another control
# process must not lose its address: it detects silence after 3.5 s, waits up to 5 s until its next attempt,
# and the attempt may take 1.5 s.
DISPLACEABLE_AFTER_US = 10_000_000


class _SentRegistration(NamedTuple):
    value: bytes | None
    sent_at: int


class ResolvedRegistrations(NamedTuple):
    """A change that registers brokers, and the reasons why some of them can't be registered."""

    change: list[Op]
    rejections: list[str]


class BrokerRegistry:
    """The registrations at one control process and, while it is the leader, the absent brokers.

    `expire_after`: µs of absence after which a broker is removed; 0: never.
    """

    def __init__(self, expire_after: int) -> None:
        self.expire_after = expire_after
        # By key; of brokers connected to this process and, at the leader, of those connected to the others.
        self.requested: dict[str, Op] = {}
        self.sent: dict[str, _SentRegistration] = {}  # by key; the last registration forwarded or proposed
        self.absent_since: dict[str, int] = {}  # by key; µs, since when the broker is not connected anywhere
        self.observed_at = 0
        self.expired_at = -RETRY_INTERVAL_US

    def clear(self) -> None:
        """Discard everything, because this process has begun or ceased to lead."""
        self.requested.clear()
        self.sent.clear()
        self.absent_since.clear()

    def request(self, ops: Iterable[Op]) -> None:
        """Request the registration of connected brokers; operations on other keys are ignored."""
        for op in ops:
            if op.key.startswith(BROKER_PREFIX) and op.value is not None:
                self.requested[op.key] = op

    def resend_all(self) -> None:
        """Send all registrations again, because forwarded ones may be lost."""
        self.sent.clear()

    def take_unsent(self, now: int, state: FleetState) -> list[Op]:
        """Return the requested registrations that are not in the state and were not sent recently."""
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
        """Record that registrations are forwarded or proposed now.

        Older records are removed, which bounds the number of names.
        """
        self.sent = {key: sent for key, sent in self.sent.items() if now - sent.sent_at < RETRY_INTERVAL_US}
        self.sent |= {op.key: _SentRegistration(op.value, now) for op in ops}

    # Used by the leader only

    def is_observation_due(self, now: int) -> bool:
        """Return whether `observe` is due."""
        return now - self.observed_at >= OBSERVATION_INTERVAL_US

    def observe(self, now: int, state: FleetState, connected: Collection[str] | None, ops: list[Op]) -> None:
        """Update the absence times.

        `connected`: names of all connected brokers, or None while a control process can't be reached; `ops`:
        registrations returned by `take_unsent` just now, whose brokers' connections may not have been
        reported yet.
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
        """Return the change that registers these brokers and removes absent ones at the same addresses.

        If the change as a whole is invalid, each broker is resolved on its own, so that two brokers at one
        address don't block the others. `observe` must be called with the same operations first, so that no
        broker that they name is removed.
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
        """Return removals of absent brokers whose address one of these brokers takes. Raises `StateError`."""
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
        """Return removals of brokers that have been absent for `expire_after`, at most once per second."""
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
    """Return the address in a broker's registration, None for a removal. Raises `StateError`."""
    return None if op.value is None else address_of(op.key, op.value)
