"""Where brokers are: what is passed on to the primary, and what that proposes by itself. No I/O; times in µs.

A broker that connects is registered; one that has been connected nowhere for long is taken out, and so is one
whose address another one has taken. That holds only while every control process of the settings is in sight:
a primary that can't see a region's control process doesn't know who is connected there, so what it saw before
counts no more, and all absences begin anew.
"""

from collections.abc import Collection, Iterable

from cypressledge.controlplane.messages import MAX_OPS_PER_CHANGE, Op
from cypressledge.controlplane.state import FleetState
from cypressledge.controlplane.state_validation import validate_change
from cypressledge.controlplane.state_values import StateError, address_of

RETRY_INTERVAL_US = 1_000_000  # after which a registration is sent, or proposed, once more
MAX_REGISTRATIONS = MAX_OPS_PER_CHANGE // 2  # registrations in one change: each may take another key out
OBSERVATION_INTERVAL_US = 1_000_000  # between looks at who is absent, where nothing is to be registered
MAX_OBSERVATION_GAP_US = 10_000_000  # without a look, after which what was seen before says nothing
# Guards against a broker that only changes its control process being taken for gone: it notices silence after
# 3.5 s, waits up to 5 for its next try, which may take 1.5.
DISPLACEABLE_AFTER_US = 10_000_000
BROKER_PREFIX = "broker/"


class BrokerRegistry:
    """Of one control process. `forget`: µs of absence after which a broker is taken out; 0: never."""

    def __init__(self, forget: int) -> None:
        self.expire_after = forget
        self.requested: dict[str, Op] = {}  # what brokers here, and at a primary those elsewhere, ask for
        self.sent: dict[str, tuple[bytes | None, int]] = {}  # key -> what was asked for last, and when
        self.absent_since: dict[
            str, int
        ] = {}  # key -> since when its broker is known to be connected nowhere
        self.observed_at = 0
        self.expired_at = -RETRY_INTERVAL_US

    def clear(self) -> None:
        """This process begins or ends as the primary."""
        self.requested.clear()
        self.sent.clear()
        self.absent_since.clear()

    def request(self, ops: Iterable[Op]) -> None:
        """Connected brokers are to be where these say."""
        self.requested |= {
            op.key: op for op in ops if op.key.startswith(BROKER_PREFIX) and op.value is not None
        }

    def resend_all(self) -> None:
        """What was passed on may be lost."""
        self.sent.clear()

    def take_unsent(self, now: int, state: FleetState) -> list[Op]:
        """What is wanted, and neither so already nor asked for a moment ago."""
        ops = [op for op in self.requested.values() if self._is_unsent(now, state, op)][:MAX_REGISTRATIONS]
        self.requested.clear()
        return ops

    def _is_unsent(self, now: int, state: FleetState, op: Op) -> bool:
        held = state.entries.get(op.key)
        if held is not None and held.value == op.value:
            self.sent.pop(op.key, None)
            return False
        value, at = self.sent.get(op.key, (None, 0))
        return value != op.value or now - at >= RETRY_INTERVAL_US

    def mark_sent(self, now: int, ops: list[Op]) -> None:
        """These are passed on, or proposed, now. Guards against names without end, too."""
        self.sent = {key: told for key, told in self.sent.items() if now - told[1] < RETRY_INTERVAL_US}
        self.sent |= {op.key: (op.value, now) for op in ops}

    # The primary alone

    def is_observation_due(self, now: int) -> bool:
        """Whether it is time to `look`."""
        return now - self.observed_at >= OBSERVATION_INTERVAL_US

    def observe(self, now: int, state: FleetState, connected: Collection[str] | None, ops: list[Op]) -> None:
        """Keep up who is absent. `connected`: names of all connected brokers, None while not all can be seen;
        `ops`: registrations just taken, of brokers whose connection may not have been told yet."""
        if connected is None or now - self.observed_at > MAX_OBSERVATION_GAP_US:
            self.absent_since.clear()
        self.observed_at = now
        if connected is None:
            return
        here = {op.key for op in ops}
        away = [
            key
            for key in state.entries
            if key.startswith(BROKER_PREFIX)
            and key not in here
            and key[len(BROKER_PREFIX) :] not in connected
        ]
        self.absent_since = {key: self.absent_since.get(key, now) for key in away}

    def _is_absent_for(self, now: int, key: str, span: int) -> bool:
        return key in self.absent_since and now - self.absent_since[key] >= span

    def resolve(self, now: int, state: FleetState, ops: list[Op]) -> tuple[list[Op], list[str]]:
        """The change that registers them, and takes out those who are gone from where they are; and why some
        can't be registered. Guards against two brokers at one address holding up the others. `look` with the
        same ops comes before: it is then that nobody is taken out whom they name."""
        try:
            change = [*self._displaced(now, state, ops), *ops]
            validate_change(state, change)
            return change, []
        except StateError:
            pass
        change, refused, claimed = [], [], {}
        for op in ops:
            try:
                part = [*self._displaced(now, state, [op]), op]
                validate_change(state, part)
                other = claimed.setdefault(address_of(op.key, op.value), op.key)
                if other != op.key:
                    raise StateError(f"{op.key} is at the address of {other}")
                change += part
            except StateError as err:
                refused.append(str(err))
        return change, refused

    def _displaced(self, now: int, state: FleetState, ops: list[Op]) -> list[Op]:
        """Removals of those at whose address one of these brokers is. Raises `StateError`."""
        touched, places = {op.key for op in ops}, state.addresses()
        held = [places.get(address_of(op.key, op.value)) for op in ops]
        return [
            Op(key)
            for key in dict.fromkeys(held)
            if key is not None and key not in touched and self._is_absent_for(now, key, DISPLACEABLE_AFTER_US)
        ]

    def expired(self, now: int, state: FleetState) -> list[Op]:
        """Removals of who has been absent for too long, once a second at the most."""
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
