"""Where brokers are: what is passed on to the primary, and what that proposes by itself. No I/O; times in µs.

A broker that connects is registered; one that has been connected nowhere for long is taken out, and so is one
whose address another one has taken. That holds only while every control process of the settings is in sight:
a primary that can't see a region's control process doesn't know who is connected there, so what it saw before
counts no more, and all absences begin anew.
"""

from collections.abc import Collection, Iterable

from cypressledge.controlplane.messages import MAX_OPS_PER_CHANGE, Op
from cypressledge.controlplane.state import FleetState, StateError, check, place_of

AGAIN = 1_000_000  # after which a registration is sent, or proposed, once more
REGISTER_MOST = MAX_OPS_PER_CHANGE // 2  # registrations in one change: each may take another key out
LOOK = 1_000_000  # between looks at who is absent, where nothing is to be registered
LOOK_GAP = 10_000_000  # without a look, after which what was seen before says nothing
# Guards against a broker that only changes its control process being taken for gone: it notices silence after
# 3.5 s, waits up to 5 for its next try, which may take 1.5.
SETTLED = 10_000_000
PREFIX = "broker/"


class Registry:
    """Of one control process. `forget`: µs of absence after which a broker is taken out; 0: never."""

    def __init__(self, forget: int) -> None:
        self.forget = forget
        self.wanted: dict[str, Op] = {}  # what brokers here, and at a primary those elsewhere, ask for
        self.asked: dict[str, tuple[bytes | None, int]] = {}  # key -> what was asked for last, and when
        self.absent: dict[str, int] = {}  # key -> since when its broker is known to be connected nowhere
        self.looked_at = 0
        self.forgot_at = -AGAIN

    def clear(self) -> None:
        """This process begins or ends as the primary."""
        self.wanted.clear()
        self.asked.clear()
        self.absent.clear()

    def want(self, ops: Iterable[Op]) -> None:
        """Connected brokers are to be where these say."""
        self.wanted |= {op.key: op for op in ops if op.key.startswith(PREFIX) and op.value is not None}

    def ask_anew(self) -> None:
        """What was passed on may be lost."""
        self.asked.clear()

    def take(self, now: int, state: FleetState) -> list[Op]:
        """What is wanted, and neither so already nor asked for a moment ago."""
        ops = [op for op in self.wanted.values() if self._unsaid(now, state, op)][:REGISTER_MOST]
        self.wanted.clear()
        return ops

    def _unsaid(self, now: int, state: FleetState, op: Op) -> bool:
        held = state.entries.get(op.key)
        if held is not None and held.value == op.value:
            self.asked.pop(op.key, None)
            return False
        value, at = self.asked.get(op.key, (None, 0))
        return value != op.value or now - at >= AGAIN

    def said(self, now: int, ops: list[Op]) -> None:
        """These are passed on, or proposed, now. Guards against names without end, too."""
        self.asked = {key: told for key, told in self.asked.items() if now - told[1] < AGAIN}
        self.asked |= {op.key: (op.value, now) for op in ops}

    # The primary alone

    def due(self, now: int) -> bool:
        """Whether it is time to `look`."""
        return now - self.looked_at >= LOOK

    def look(self, now: int, state: FleetState, connected: Collection[str] | None, ops: list[Op]) -> None:
        """Keep up who is absent. `connected`: names of all connected brokers, None while not all can be seen;
        `ops`: registrations just taken, of brokers whose connection may not have been told yet."""
        if connected is None or now - self.looked_at > LOOK_GAP:
            self.absent.clear()
        self.looked_at = now
        if connected is None:
            return
        here = {op.key for op in ops}
        away = [
            key
            for key in state.entries
            if key.startswith(PREFIX) and key not in here and key[len(PREFIX) :] not in connected
        ]
        self.absent = {key: self.absent.get(key, now) for key in away}

    def _gone(self, now: int, key: str, span: int) -> bool:
        return key in self.absent and now - self.absent[key] >= span

    def fitting(self, now: int, state: FleetState, ops: list[Op]) -> tuple[list[Op], list[str]]:
        """The change that registers them, and takes out those who are gone from where they are; and why some
        can't be registered. Guards against two brokers at one address holding up the others. `look` with the
        same ops comes before: it is then that nobody is taken out whom they name."""
        try:
            change = [*self._displaced(now, state, ops), *ops]
            check(state, change)
            return change, []
        except StateError:
            pass
        change, refused, claimed = [], [], {}
        for op in ops:
            try:
                part = [*self._displaced(now, state, [op]), op]
                check(state, part)
                other = claimed.setdefault(place_of(op.key, op.value), op.key)
                if other != op.key:
                    raise StateError(f"{op.key} is at the address of {other}")
                change += part
            except StateError as err:
                refused.append(str(err))
        return change, refused

    def _displaced(self, now: int, state: FleetState, ops: list[Op]) -> list[Op]:
        """Removals of those at whose address one of these brokers is. Raises `StateError`."""
        touched, places = {op.key for op in ops}, state.places()
        held = [places.get(place_of(op.key, op.value)) for op in ops]
        return [
            Op(key)
            for key in dict.fromkeys(held)
            if key is not None and key not in touched and self._gone(now, key, SETTLED)
        ]

    def forgotten(self, now: int, state: FleetState) -> list[Op]:
        """Removals of who has been absent for too long, once a second at the most."""
        if not self.forget or now - self.forgot_at < AGAIN:
            return []
        ops = [Op(key) for key in self.absent if key in state.entries and self._gone(now, key, self.forget)][
            :MAX_OPS_PER_CHANGE
        ]
        if ops:
            self.forgot_at = now
        return ops
