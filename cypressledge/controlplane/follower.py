"""A broker towards the control processes: whom it follows, and what it takes. No I/O; time is told, µs.

What it takes only goes on: no version at or below its own, no epoch below its own, no other lineage. One
exception: at the same version, a snapshot of a higher epoch, or, where the broker's own entries no longer
sum to its digest, one of the same epoch. Two sound states of one epoch and version can't both be of the
history; who is right can't be known here, so the broker keeps what it has, counts and logs it, and the next
version ends it.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from cypressledge.broker.metrics import Counters
from cypressledge.controlplane.change_history import unpack
from cypressledge.controlplane.messages import (
    FORMAT,
    AppliedPosition,
    Change,
    CompleteSnapshot,
    Deltas,
    Disconnect,
    Heartbeat,
    Hello,
    HelloAccepted,
    Message,
    Snapshot,
    SnapshotRequest,
    to_printable_line,
)
from cypressledge.controlplane.state import FleetState, StateError
from cypressledge.fleet.ranks import weight

CONNECT = 1_500_000  # µs for a TCP connection
SILENT = 3_500_000  # µs without a frame, after which another one is followed
SPAN = 100_000  # µs, a random part of it: between the tries of one round of all servers
SPAN_MOST = 5_000_000  # µs, a random part of it at the most: between rounds, doubling from SPAN
STEADY = 5_000_000  # µs: a connection that held so long makes the spans begin again
HOME = (20_000_000, 40_000_000)  # µs until a nearer one is tried
HOME_DOUBLINGS = 3  # of that while the nearer ones don't take us
STALE_MS = 10_000  # without a word of a primary, longer than a change of primary takes: another one is tried
STALE_AGAIN = (10_000_000, 20_000_000)  # µs until the next such try, doubling: all may be cut off alike
STALE_AWAY = 60_000_000  # µs that a stale one is no home
AFTER_MOST = 60_000_000  # µs that a refusal may keep a broker away
NEVER = 3_600_000_000  # µs until the next tick where nothing is due


@dataclass(frozen=True, slots=True)
class Server:
    """One control process."""

    name: str
    address: str
    zone: str = ""
    region: str = ""


class Phase(Enum):
    """Of the one connection."""

    WAITING = "waiting"
    CONNECTING = "connecting"
    GREETING = "greeting"
    FOLLOWING = "following"


def order(broker: str, zone: str, region: str, servers: list[Server]) -> list[Server]:
    """Own zone first, then own region, then the others; within each an order of the broker's own (rendezvous
    hashing: Thaler and Ravishankar 1998), so brokers spread and a dead server's spread over the others."""

    def rank(server: Server) -> tuple[int, int]:
        far = 0 if zone and server.zone == zone else 1 if region and server.region == region else 2
        return far, -weight(server.name, broker)

    return sorted(servers, key=rank)


class Follower:
    """Follows one control process. `out(message)`; `connect(server)`: answered by `up` or `down`;
    `end(why)`: close the connection, of which nothing may be told any more; `changed(state, change)` after
    each change taken (None: a snapshot), which answers why some of it was turned down, if it was; `settled()`
    once all that a message brought is taken, which answers the same: for what needn't be done at each one;
    `event(name, **what)`: to be logged, counted here. `lineage`: the only one to be taken; empty: that of the
    first snapshot."""

    def __init__(
        self,
        name: str,
        run: int,
        servers: list[Server],
        zone: str,
        region: str,
        seed: int,
        address: str,
        out: Callable[[Message], None],
        connect: Callable[[Server], None],
        end: Callable[[str], None],
        changed: Callable[[FleetState, Change | None], str | None],
        event: Callable[..., None],
        lineage: str = "",
        settled: Callable[[], str | None] | None = None,
    ) -> None:
        self.name, self.run, self.address, self.zone, self.region = name, run, address, zone, region
        self.servers = order(name, zone, region, servers)
        self.out, self.connect, self.end, self.changed, self.event = out, connect, end, changed, event
        self.lineage, self.settled = lineage, settled
        self.counters = Counters()
        self.state = FleetState()  # of no lineage while nothing is held
        self.refused = ""  # why some of it is not in force
        self.phase = Phase.WAITING
        self.current = 0  # index into servers: whom we follow or try
        self._random = random.Random(seed)
        self._began: int | None = None
        self._at = 0  # µs: of the wait, the end; of the others, the beginning
        self._heard = 0
        self._failures = 0
        self._not_before: dict[int, int] = {}  # server -> µs, as a refusal said
        self._home_at: int | None = None
        self._home_fails = 0
        self._home_tries = 0
        self._back: int | None = None  # whom we left to try a nearer one
        self._primary_at: int | None = None
        self._primary = ""
        self._differed = -1  # version at which a Heartbeat's digest differed
        self._stale: dict[int, int] = {}  # server -> µs until which it is no home
        self._stale_tries = self._stale_at = 0

    def tick(self, now: int) -> int:
        """What time brings about; when to call again, µs."""
        if not self.servers:
            return now + NEVER
        if self._began is None:
            self._began = now
            self._at = now + self._part(SPAN)
        if self.phase is Phase.WAITING and now >= self._at:
            self._connect(now)
        elif self.phase is Phase.CONNECTING and now - self._at >= CONNECT:
            self._leave(now, "connect timeout")
        elif self.phase in (Phase.GREETING, Phase.FOLLOWING) and now - self._heard >= SILENT:
            self._leave(now, "silent")
        elif self._home_at is not None and now >= self._home_at:
            self._go_home(now)
        return self._due()

    def _due(self) -> int:
        if self.phase is Phase.WAITING:
            return self._at
        if self.phase is Phase.CONNECTING:
            return self._at + CONNECT
        silent = self._heard + SILENT
        return silent if self._home_at is None else min(silent, self._home_at)

    def up(self, now: int) -> None:
        """The connection that was asked for is up."""
        if self.phase is not Phase.CONNECTING:
            return
        self.phase, self._at, self._heard = Phase.GREETING, now, now
        state = self.state
        self.out(
            Hello(
                FORMAT,
                "broker",
                self.name,
                self.run,
                state.cluster_id,
                state.epoch,
                state.version,
                state.digest if state.cluster_id else b"",
                self.address,
                self.zone,
                self.region,
                self.refused,
            )
        )

    def down(self, now: int, why: str) -> None:
        """The connection has ended, or could not be made."""
        if self.phase is not Phase.WAITING:
            self._lost(now, why)

    def received(self, now: int, message: Message) -> None:
        """A frame of whom we follow."""
        if self.phase not in (Phase.GREETING, Phase.FOLLOWING):
            return
        self._heard = now
        following = self.phase is Phase.FOLLOWING
        if isinstance(message, Disconnect):
            self._goodbye(now, message)
        elif isinstance(message, HelloAccepted) and not following:
            self._welcome(now, message)
        elif isinstance(message, Deltas) and following:
            self._deltas(message.changes)
        elif isinstance(message, CompleteSnapshot) and following:
            self._whole(now, message.compressed)
        elif isinstance(message, Heartbeat) and following:
            self._beat(now, message)
        else:
            self._leave(now, "nonsense")

    def _welcome(self, now: int, message: HelloAccepted) -> None:
        if not self._own(message.cluster_id):
            return self._leave(now, "lineage")
        self.phase, self._back = Phase.FOLLOWING, None
        if self.current == 0:
            self._home_fails = 0
        self._plan_home(now)
        self._count("followed", server=self.servers[self.current].name)
        return None

    def _own(self, lineage: str) -> bool:
        """Whether a history may be ours; one that has no name yet has nothing to send."""
        return not lineage or lineage == (self.state.cluster_id or self.lineage or lineage)

    def _goodbye(self, now: int, message: Disconnect) -> None:
        after = min(max(message.retry_after_ms, 0) * 1000, AFTER_MOST)
        if after:
            self._not_before[self.current] = now + after + self._part(after // 4)
        self._leave(now, f"goodbye {message.reason[:40]}")

    def _beat(self, now: int, beat: Heartbeat) -> None:
        if beat.leader_silence_ms >= 0:
            heard = now - beat.leader_silence_ms * 1000
            self._primary_at = heard if self._primary_at is None else max(heard, self._primary_at)
            self._primary = beat.leader
        state = self.state
        differs = state.cluster_id and beat.version == state.version and beat.digest != state.digest
        if differs and self._differed != state.version:  # guards against a log line a second
            self._differed = state.version
            self._count("digest_differs", epoch=beat.epoch, version=beat.version)
        self._look_elsewhere(now, beat)

    def _look_elsewhere(self, now: int, beat: Heartbeat) -> None:
        """Guards against a control process that is cut off from the others while they can be reached."""
        if 0 <= beat.leader_silence_ms < STALE_MS:
            self._stale_tries = 0
        elif len(self.servers) > 1 and now - self._at >= STALE_MS * 1000 and now >= self._stale_at:
            low, high = STALE_AGAIN
            self._stale_at = now + (low + self._part(high - low) << self._stale_tries)
            self._stale_tries = min(self._stale_tries + 1, HOME_DOUBLINGS)
            self._stale[self.current] = now + STALE_AWAY
            self._leave(now, "stale")

    def _deltas(self, changes: list[Change]) -> None:
        """Take what follows; one answer in any case."""
        before = self.state.version
        wanted = self._take(changes)
        if self.state.version > before:
            self._settle()
        if wanted is None:
            self._have()
        else:
            self.out(wanted)

    def _take(self, changes: list[Change]) -> SnapshotRequest | None:
        """What follows, up to where a snapshot is wanted instead, if anywhere."""
        for change in changes:
            if not self.state.cluster_id or change.version > self.state.version + 1:
                self._count("gap", version=change.version, own=self.state.version)
                return SnapshotRequest("gap")
            if change.version <= self.state.version or change.epoch < self.state.epoch:
                self._turn_down(change.epoch, change.version)
                continue
            before = self.state.position
            try:
                self.state.apply(change)
            except StateError as err:
                self._count("delta_differs", version=change.version, why=str(err))
                return SnapshotRequest("digest")
            self._taken(before, change)
        return None

    def _whole(self, now: int, packed: bytes) -> None:
        try:
            snapshot = unpack(packed)
            state = FleetState.restore(snapshot)
        except StateError as err:
            self._count("bad_whole", why=str(err))
            return self._leave(now, "bad snapshot")
        if not snapshot.cluster_id or not self._own(snapshot.cluster_id):
            return self._leave(now, "lineage")
        if not self._newer(snapshot):
            return self._have()
        before, self.state = self.state.position, state
        self._taken(before, None)
        self._settle()
        self._have()
        return None

    def _newer(self, snapshot: Snapshot) -> bool:
        """Whether a snapshot is to be taken: see the head of this file."""
        own = self.state
        if not own.cluster_id:
            return True
        if snapshot.version < own.version or snapshot.epoch < own.epoch:
            self._turn_down(snapshot.epoch, snapshot.version)
            return False
        if snapshot.version > own.version:
            return True
        if snapshot.digest != own.digest:
            self._count("digest_differs", epoch=snapshot.epoch, version=snapshot.version)
        if snapshot.epoch > own.epoch:
            return True
        if not own.verify():
            self._count("own_state_spoilt", version=own.version)
            return True
        self._turn_down(snapshot.epoch, snapshot.version)
        return False

    def _taken(self, before: tuple[int, int], change: Change | None) -> None:
        after = self.state.position
        self.counters.invariant(after[0] >= before[0] and after[1] >= before[1], "never_back")
        self.counters.add("wholes_taken" if change is None else "changes_taken")
        self.refused = to_printable_line(self.changed(self.state, change) or "")

    def _settle(self) -> None:
        if self.settled is not None:
            self.refused = to_printable_line(self.settled() or "")

    def _turn_down(self, epoch: int, version: int) -> None:
        self._count("turned_down", epoch=epoch, version=version, own=self.state.position)

    def _have(self) -> None:
        self.out(AppliedPosition(self.state.epoch, self.state.version, self.state.digest, self.refused))

    def _connect(self, now: int) -> None:
        self.phase, self._at, self._home_at = Phase.CONNECTING, now, None
        self.connect(self.servers[self.current])

    def _leave(self, now: int, why: str) -> None:
        """End the connection ourselves, and go on to another."""
        self.end(why)
        self._lost(now, why)

    def _lost(self, now: int, why: str) -> None:
        self._count("lost", server=self.servers[self.current].name, why=why)
        if self.phase in (Phase.GREETING, Phase.FOLLOWING) and now - self._at >= STEADY:
            self._failures = 0
        self.phase, self._home_at = Phase.WAITING, None
        if self._back is not None:  # a nearer one did not take us
            self.current, self._back = self._back, None
            self._home_fails = min(self._home_fails + 1, HOME_DOUBLINGS)
            self._at = now + self._part(SPAN)
            return
        # All servers in a row, then a pause: guards against a span that grows while most are down, and puts
        # off the one that is up.
        self._failures += 1
        rounds, within = divmod(self._failures, len(self.servers))
        wait = self._part(SPAN if within else min(SPAN << min(rounds - 1, 10), SPAN_MOST))
        self._next(now, wait)

    def _next(self, now: int, wait: int) -> None:
        """The next in order that has not asked us to stay away; where all have, whoever is first free."""
        count = len(self.servers)
        line = [(self.current + 1 + i) % count for i in range(count)]
        self._at = now + wait
        free = next((i for i in line if self._not_before.get(i, 0) <= self._at), None)
        if free is None:
            free = min(line, key=lambda i: self._not_before[i])
            self._at = self._not_before[free]
        self.current = free

    def _plan_home(self, now: int) -> None:
        low, high = HOME
        span = low + self._part(high - low)
        self._home_at = now + (span << self._home_fails) if self.current else None

    def _go_home(self, now: int) -> None:
        """One try at a nearer one; what is held stays, and where it fails we come back."""
        away = (self._not_before, self._stale)
        nearer = [i for i in range(self.current) if all(until.get(i, 0) <= now for until in away)]
        if not nearer:
            return self._plan_home(now)
        self.end("home")
        # In turn: guards against one that stays dead hiding the others.
        self._back, self.current = self.current, nearer[self._home_tries % len(nearer)]
        self._home_tries += 1
        self._count("home_tried", server=self.servers[self.current].name)
        self._connect(now)
        return None

    def _part(self, span: int) -> int:
        """A random part of a span, µs ("full jitter")."""
        return self._random.randrange(span + 1)

    def _count(self, name: str, **what: object) -> None:
        self.counters.add(name)
        self.event(name, **what)

    def stale_ms(self, now: int) -> int:
        """How long ago a primary was last known to be heard by whom we followed then, ms; from the first tick
        on where none ever was. Grows while there is no connection."""
        since = self._began if self._primary_at is None else self._primary_at
        return 0 if since is None else max(now - since, 0) // 1000

    def status(self, now: int) -> dict:
        """For operators."""
        server = self.servers[self.current] if self.servers else None
        state = self.state
        return {
            "phase": self.phase.value,
            "server": server and server.name,
            "address": server and server.address,
            "lineage": state.cluster_id,
            "epoch": state.epoch,
            "version": state.version,
            "digest": state.digest.hex(),
            "primary": self._primary,
            "stale_ms": self.stale_ms(now),
            "counts": self.counters.show(),
        }
