"""Which control process a broker is connected to, and which it tries next and when. No I/O; times in µs.

Own zone first, then own region. Waits are random parts of a span that doubles ("full jitter"), so that
brokers which lost one control process do not all come to the next at once.
"""

import random
from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

from cypressledge.fleet.leases.candidate_order import weight

MAX_ATTEMPT_DELAY = 100_000  # a random part of it: between the attempts of one round of all servers
MAX_ROUND_DELAY = (
    5_000_000  # a random part of it at the most: between rounds, doubling from MAX_ATTEMPT_DELAY
)
MAX_ROUND_DELAY_DOUBLINGS = 10
NEARER_ATTEMPT_DELAY_RANGE = (20_000_000, 40_000_000)  # until a nearer server is tried
MAX_CHANGE_DELAY_DOUBLINGS = 3  # of that while the nearer ones fail; of STALE_CHANGE_DELAY_RANGE likewise
MIN_STALE_CONNECTION = 10_000_000  # that a connection is kept, however long no leader is heard over it
STALE_CHANGE_DELAY_RANGE = (
    10_000_000,
    20_000_000,
)  # until the next such change, doubling: all may be cut off alike
STALE_AVOIDANCE_TIME = 60_000_000  # that a server which heard no leader is not gone back to
MAX_RETRY_AFTER = 60_000_000  # that a rejection may keep a broker away


@dataclass(frozen=True, slots=True)
class Server:
    """One control process. `address`: HOST:PORT."""

    name: str
    address: str
    zone: str = ""
    region: str = ""


class _Distance(IntEnum):
    """Of a server from the broker, the nearest first."""

    SAME_ZONE = 0
    SAME_REGION = 1
    ELSEWHERE = 2


class _Preference(NamedTuple):
    """Where a server stands in a broker's order: the least first."""

    distance: _Distance
    negated_weight: int  # the heaviest first among equally distant ones


def order_servers(broker: str, zone: str, region: str, servers: list[Server]) -> list[Server]:
    """Own zone first, then own region, then the others; within each an order of the broker's own (rendezvous
    hashing: Thaler and Ravishankar 1998), so brokers spread and a dead server's spread over the others."""

    def preference(server: Server) -> _Preference:
        """The sort key of one server."""
        if zone and server.zone == zone:
            distance = _Distance.SAME_ZONE
        elif region and server.region == region:
            distance = _Distance.SAME_REGION
        else:
            distance = _Distance.ELSEWHERE
        return _Preference(distance, -weight(server.name, broker))

    return sorted(servers, key=preference)


class ServerSelector:
    """Chooses among `servers`, the nearest first. `current`: the index of the one that is connected to, or
    tried next; `nearer_at`: when a nearer one is to be tried, None while that isn't planned."""

    def __init__(self, servers: list[Server], seed: int) -> None:
        self.servers = servers
        self.current = 0
        self.nearer_at: int | None = None
        self._random = random.Random(seed)
        self._failures = 0  # in a row
        self._not_before: dict[int, int] = {}  # by server: until when a rejection keeps us away
        self._nearer_failures = 0
        self._nearer_attempts = 0
        self._fallback: int | None = None  # whom we left to try a nearer one
        self._stale_until: dict[int, int] = {}  # by server: until when it is not gone back to
        self._stale_changes = 0
        self._next_stale_change = 0

    @property
    def server(self) -> Server:
        """The one that is connected to, or tried next."""
        return self.servers[self.current]

    def first_attempt_at(self, now: int) -> int:
        """When to try the first."""
        return now + self._jitter(MAX_ATTEMPT_DELAY)

    def on_attempt(self) -> None:
        """The current one is tried now."""
        self.nearer_at = None

    def accepted(self, now: int) -> None:
        """The current one takes this broker."""
        self._fallback = None
        if self.current == 0:
            self._nearer_failures = 0
        self._schedule_nearer_attempt(now)

    def rejected(self, now: int, retry_after_ms: int) -> None:
        """The current one keeps this broker away."""
        wait = min(max(retry_after_ms, 0) * 1000, MAX_RETRY_AFTER)
        if wait:
            self._not_before[self.current] = now + wait + self._jitter(wait // 4)

    def failed(self, now: int, was_steady: bool) -> int:
        """The connection has ended, or could not be made: choose another. `was_steady`: it held for long.
        When to try that."""
        if was_steady:
            self._failures = 0
        self.nearer_at = None
        if self._fallback is not None:  # a nearer one did not take us
            self.current, self._fallback = self._fallback, None
            self._nearer_failures = min(self._nearer_failures + 1, MAX_CHANGE_DELAY_DOUBLINGS)
            return now + self._jitter(MAX_ATTEMPT_DELAY)
        # All servers in a row, then a pause: guards against a span that grows while most are down, and puts
        # off the one that is up.
        self._failures += 1
        rounds, within = divmod(self._failures, len(self.servers))
        span = MAX_ATTEMPT_DELAY
        if not within:
            span = min(MAX_ATTEMPT_DELAY << min(rounds - 1, MAX_ROUND_DELAY_DOUBLINGS), MAX_ROUND_DELAY)
        return self._choose_next(now + self._jitter(span))

    def _choose_next(self, at: int) -> int:
        """The next in order that has not kept us away; where all have, whoever is free first. When."""
        count = len(self.servers)
        following = [(self.current + 1 + i) % count for i in range(count)]
        free = next((i for i in following if self._not_before.get(i, 0) <= at), None)
        if free is None:
            free = min(following, key=lambda i: self._not_before[i])
            at = self._not_before[free]
        self.current = free
        return at

    def _schedule_nearer_attempt(self, now: int) -> None:
        low, high = NEARER_ATTEMPT_DELAY_RANGE
        span = low + self._jitter(high - low)
        self.nearer_at = now + (span << self._nearer_failures) if self.current else None

    def choose_nearer(self, now: int) -> bool:
        """Choose a nearer one, if one may be tried now. Where that fails, `failed` goes back."""
        nearer = [i for i in range(self.current) if self._is_selectable(i, now)]
        if not nearer:
            self._schedule_nearer_attempt(now)
            return False
        # In turn: guards against one that stays dead hiding the others.
        self._fallback, self.current = self.current, nearer[self._nearer_attempts % len(nearer)]
        self._nearer_attempts += 1
        return True

    def _is_selectable(self, server: int, now: int) -> bool:
        return all(until.get(server, 0) <= now for until in (self._not_before, self._stale_until))

    def on_leader_contact(self) -> None:
        """The current one hears a leader."""
        self._stale_changes = 0

    def avoid_stale(self, now: int, connected_at: int) -> bool:
        """The current one hears no leader: whether another one is to be tried. Guards against a control
        process that is cut off from the others while they can be reached."""
        if (
            len(self.servers) == 1
            or now - connected_at < MIN_STALE_CONNECTION
            or now < self._next_stale_change
        ):
            return False
        low, high = STALE_CHANGE_DELAY_RANGE
        self._next_stale_change = now + (low + self._jitter(high - low) << self._stale_changes)
        self._stale_changes = min(self._stale_changes + 1, MAX_CHANGE_DELAY_DOUBLINGS)
        self._stale_until[self.current] = now + STALE_AVOIDANCE_TIME
        return True

    def _jitter(self, span: int) -> int:
        """A random part of a span ("full jitter")."""
        return self._random.randrange(span + 1)
