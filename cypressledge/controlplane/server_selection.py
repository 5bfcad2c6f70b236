"""Selects the control process that a broker connects to, and when the next attempt is. No I/O; times in µs.

Servers in the broker's own zone come first, then those in its own region. Delays are exponential backoff with
full jitter (a random part of a span that doubles), so that brokers that lost one control process don't all
connect to the next one at the same time.
"""

import random
from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

from cypressledge.fleet.leases.candidate_order import weight

MAX_ATTEMPT_DELAY = 100_000  # µs, before jitter; delay between the attempts of one round over all servers
MAX_ROUND_DELAY = 5_000_000  # µs, before jitter; upper limit between rounds, doubling from MAX_ATTEMPT_DELAY
MAX_ROUND_DELAY_DOUBLINGS = 10
NEARER_ATTEMPT_DELAY_RANGE = (20_000_000, 40_000_000)  # µs; time until a nearer server is tried
# How often NEARER_ATTEMPT_DELAY_RANGE doubles while nearer servers fail, and STALE_CHANGE_DELAY_RANGE
# likewise.
MAX_CHANGE_DELAY_DOUBLINGS = 3
MIN_STALE_CONNECTION = 10_000_000  # µs; minimum duration of a connection to a server without leader contact
# µs; time until the next change away from such a server. It doubles, as all servers may lack leader contact.
STALE_CHANGE_DELAY_RANGE = (10_000_000, 20_000_000)
# µs; time without returns to a server that was left because it had no leader contact.
STALE_AVOIDANCE_TIME = 60_000_000
MAX_RETRY_AFTER = 60_000_000  # µs; longest time that a rejection may keep a broker away


@dataclass(frozen=True, slots=True)
class Server:
    """One control process that a broker can connect to. `address`: HOST:PORT."""

    name: str
    address: str
    zone: str = ""
    region: str = ""


class _Distance(IntEnum):
    """Distance of a server from the broker; the nearest is the lowest."""

    SAME_ZONE = 0
    SAME_REGION = 1
    ELSEWHERE = 2


class _Preference(NamedTuple):
    """The sort key of a server in a broker's order of preference, ascending."""

    distance: _Distance
    negated_weight: int  # equally distant servers are ordered by descending weight


def order_servers(broker: str, zone: str, region: str, servers: list[Server]) -> list[Server]:
    """Return the servers in a broker's order of preference: own zone, own region, then the others.

    Within each of these groups, rendezvous hashing (Thaler and Ravishankar 1998) gives each broker an order
    of its own. This distributes brokers over the servers, and the brokers of a failed server over the others.
    """

    def preference(server: Server) -> _Preference:
        """Return the sort key of one server."""
        if zone and server.zone == zone:
            distance = _Distance.SAME_ZONE
        elif region and server.region == region:
            distance = _Distance.SAME_REGION
        else:
            distance = _Distance.ELSEWHERE
        return _Preference(distance, -weight(server.name, broker))

    return sorted(servers, key=preference)


class ServerSelector:
    """Selects one of `servers`, which are in order of preference, the nearest first.

    `current`: index of the server that the broker is connected to or tries next; `nearer_at`: when a nearer
    server is tried, None while no such attempt is scheduled.
    """

    def __init__(self, servers: list[Server], seed: int) -> None:
        self.servers = servers
        self.current = 0
        self.nearer_at: int | None = None
        self._random = random.Random(seed)
        self._failures = 0  # consecutive ones
        self._not_before: dict[int, int] = {}  # by server: until when a rejection forbids attempts
        self._nearer_failures = 0
        self._nearer_attempts = 0
        self._fallback: int | None = None  # the server that was left in order to try a nearer one
        self._stale_until: dict[int, int] = {}  # by server: until when it is not selected as a nearer one
        self._stale_changes = 0
        self._next_stale_change = 0

    @property
    def server(self) -> Server:
        """The server that the broker is connected to or tries next."""
        return self.servers[self.current]

    def first_attempt_at(self, now: int) -> int:
        """Return when the first server is tried."""
        return now + self._jitter(MAX_ATTEMPT_DELAY)

    def on_attempt(self) -> None:
        """Handle the start of an attempt to connect to the current server."""
        self.nearer_at = None

    def accepted(self, now: int) -> None:
        """Handle that the current server has accepted this broker."""
        self._fallback = None
        if self.current == 0:
            self._nearer_failures = 0
        self._schedule_nearer_attempt(now)

    def rejected(self, now: int, retry_after_ms: int) -> None:
        """Handle that the current server has rejected this broker for a time."""
        wait = min(max(retry_after_ms, 0) * 1000, MAX_RETRY_AFTER)
        if wait:
            self._not_before[self.current] = now + wait + self._jitter(wait // 4)

    def failed(self, now: int, was_steady: bool) -> int:
        """Select another server after a connection has ended or failed; return when to try it.

        `was_steady`: the connection had lasted long enough to reset the backoff.
        """
        if was_steady:
            self._failures = 0
        self.nearer_at = None
        if self._fallback is not None:  # the attempt to connect to a nearer server failed
            self.current, self._fallback = self._fallback, None
            self._nearer_failures = min(self._nearer_failures + 1, MAX_CHANGE_DELAY_DOUBLINGS)
            return now + self._jitter(MAX_ATTEMPT_DELAY)
        # The delay grows only after a round over all servers. If it grew with each attempt while most servers
        # are down, the one that is up would be tried late.
        self._failures += 1
        rounds, within = divmod(self._failures, len(self.servers))
        span = MAX_ATTEMPT_DELAY
        if not within:
            span = min(MAX_ATTEMPT_DELAY << min(rounds - 1, MAX_ROUND_DELAY_DOUBLINGS), MAX_ROUND_DELAY)
        return self._choose_next(now + self._jitter(span))

    def _choose_next(self, at: int) -> int:
        """Select the next server in order that permits attempts; return when to try it.

        If rejections forbid attempts at all servers, the one that permits an attempt first is selected.
        """
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
        """Select a nearer server if one may be tried now, and return whether one was selected.

        If the attempt fails, `failed` returns to the present server.
        """
        nearer = [i for i in range(self.current) if self._is_selectable(i, now)]
        if not nearer:
            self._schedule_nearer_attempt(now)
            return False
        # The nearer servers are tried in turn: one that stays down must not prevent attempts at the others.
        self._fallback, self.current = self.current, nearer[self._nearer_attempts % len(nearer)]
        self._nearer_attempts += 1
        return True

    def _is_selectable(self, server: int, now: int) -> bool:
        return all(until.get(server, 0) <= now for until in (self._not_before, self._stale_until))

    def on_leader_contact(self) -> None:
        """Handle that the current server has contact with a leader."""
        self._stale_changes = 0

    def avoid_stale(self, now: int, connected_at: int) -> bool:
        """Return whether to change away from the current server, which has no contact with a leader.

        The server may be partitioned from the other control processes while the broker can reach them.
        """
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
        """Return a random part of a span (full jitter)."""
        return self._random.randrange(span + 1)
