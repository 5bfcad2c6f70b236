"""A control process towards its brokers: who holds what, and who is sent what next. No I/O; time is told, µs.

One message is out per broker until it has answered with its AppliedPosition, so a slow one costs no memory
here: it is ended, and gets a snapshot when it comes back. Snapshots are rationed and wait in line. Whoever
does the I/O ends connections whose socket takes nothing more: Heartbeats alone are sent without an answer.
They are sent under a stream of changes too, as they alone say how long ago a primary was heard.
"""

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from cypressledge.broker.metrics import Counters
from cypressledge.controlplane.change_history import History
from cypressledge.controlplane.messages import (
    FORMAT,
    AppliedPosition,
    AppliedReport,
    CompleteSnapshot,
    Deltas,
    Disconnect,
    Heartbeat,
    Hello,
    HelloAccepted,
    Message,
    Op,
    SnapshotRequest,
    to_printable_line,
)
from cypressledge.controlplane.state import KEY, Broker, FleetState, StateError, canonical, place_of

Position = tuple[int, int, bytes]  # epoch, version, digest
REASONS_MOST = 500  # refusals in one AppliedReport that say why: guards against more than a frame holds
STEP = 50_000  # µs between ticks at least: guards against one wake for each broker's beat


@dataclass(frozen=True, slots=True)
class Limits:
    """What brokers may cost a control process. Seconds; `wholes`: snapshots."""

    answer_s: float = 10.0
    beat_s: float = 1.0
    ahead_s: float = 5.0
    wholes_at_once: int = 8
    hold_s: float = 2.0  # that one without an answer keeps its place: others wait behind it
    wholes_per_s: int = 20
    followers_most: int = 600
    full_after_ms: int = 5_000
    unfit_after_ms: int = 5_000  # for another format or lineage
    replaced_after_ms: int = 1_000  # guards against two of one name that end each other without a pause


@dataclass(slots=True)
class _Follower:
    """One connected broker."""

    conn: int
    name: str
    run: int
    lineage: str
    position: Position
    register: Op | None
    beat_at: int
    sent: Position | None = None  # what it will hold once it has taken the message that is out
    whole_out: bool = False
    answer_by: int = 0
    wants_whole: bool = False
    queued: bool = False
    refused: tuple[int, int] | None = None  # our position of a snapshot that it did not take
    refusal: str = ""  # why its process has turned down some of what it holds
    ahead_since: int | None = None
    ahead_told: bool = False


@dataclass(slots=True)
class _Ration:
    """Snapshots out by conn with when each was begun, and when the last ones were. µs."""

    at_once: int
    per_s: int
    hold: int
    out: dict[int, int] = field(default_factory=dict)
    starts: deque[int] = field(default_factory=deque)

    def free_at(self, now: int) -> int:
        """When the next may begin: once one that is out has been answered, or has kept its place for long."""
        held = [at + self.hold for at in self.out.values() if at + self.hold > now]
        place = now if len(held) < self.at_once else min(held)
        return place if len(self.starts) < self.per_s else max(place, self.starts[0] + 1_000_000)

    def begin(self, now: int, conn: int) -> None:
        self.out[conn] = now
        self.starts.append(now)
        if len(self.starts) > self.per_s:
            self.starts.popleft()


class Publisher:
    """Sends a history to brokers. `out(conn, message)`; `end(conn, goodbye)`: sends it and closes, and `gone`
    need not be told; `event(name, **what)`: to be counted and logged."""

    def __init__(
        self,
        name: str,
        run: int,
        history: History,
        limits: Limits,
        out: Callable[[int, Message], None],
        end: Callable[[int, Disconnect], None],
        event: Callable[..., None],
    ) -> None:
        self.name, self.run, self.history, self.limits = name, run, history, limits
        self.out, self.end, self.event = out, end, event
        self.counters = Counters()
        self.followers: dict[int, _Follower] = {}
        self.names: dict[str, int] = {}  # name -> conn
        self.waiting: deque[int] = deque()  # conns that a snapshot is due to, first come first
        self.ration = _Ration(limits.wholes_at_once, limits.wholes_per_s, round(limits.hold_s * 1e6))
        self.primary_name = ""
        self.primary_at: int | None = None
        self._changed: set[str] = set()  # names since the last `seen`
        self._all = False  # too many to name: the next `seen` tells all

    def connected(self, now: int, conn: int, hello: Hello) -> None:
        """A broker's first frame has come."""
        if hello.format != FORMAT:
            return self._refuse(conn, hello.name, Disconnect("format", self.limits.unfit_after_ms))
        if conn in self.followers or hello.role != "broker" or not _sound(hello):
            return self._refuse(conn, hello.name, Disconnect("nonsense"))
        former = self.names.get(hello.name)
        if former is not None:
            self._end(self.followers[former], Disconnect("replaced", self.limits.replaced_after_ms))
        if len(self.followers) >= self.limits.followers_most:
            return self._refuse(conn, hello.name, Disconnect("full", self.limits.full_after_ms))
        follower = _Follower(
            conn,
            hello.name,
            hello.instance_id,
            hello.cluster_id,
            (hello.epoch, hello.version, hello.digest),
            self._register(hello),
            now,
            refusal=to_printable_line(hello.rejection_reason),
        )
        self.followers[conn], self.names[hello.name] = follower, conn
        self._changes(hello.name)
        self.out(conn, HelloAccepted(self.name, self.run, self.history.state.cluster_id))
        if conn in self.followers:
            self._beat(now, follower)
            self._feed(now, follower)
            return None
        return None

    def received(self, now: int, conn: int, message: Message) -> None:
        """Another frame of a broker that `connected`."""
        follower = self.followers.get(conn)
        if follower is None:
            return None
        # Each of both answers one message: guards against a broker that claims leave for many.
        if isinstance(message, AppliedPosition) and follower.sent is not None:
            self._have(
                follower,
                (message.epoch, message.version, message.digest),
                to_printable_line(message.rejection_reason),
            )
        elif isinstance(message, SnapshotRequest) and follower.sent is not None and not follower.whole_out:
            follower.sent, follower.wants_whole = None, True
            self.event("whole_wanted", broker=follower.name, why=message.reason[:40])
        else:
            return self._end(follower, Disconnect("nonsense"))
        self._feed(now, follower)
        self._wholes(now)
        return None

    def gone(self, now: int, conn: int) -> None:
        """A connection is down."""
        if conn in self.followers:
            self._forget(self.followers[conn])
            self._wholes(now)

    def committed(self, now: int) -> None:
        """The history has grown or was reset."""
        for follower in list(self.followers.values()):
            self._feed(now, follower)

    def primary(self, now: int, name: str) -> None:
        """A sign of the primary was heard."""
        self.primary_name, self.primary_at = name, now

    def stop(self) -> None:
        """This control process ends: its brokers go to others."""
        for follower in list(self.followers.values()):
            self._end(follower, Disconnect("stopping"))

    def tick(self, now: int) -> int:
        """What time brings about; when to call again, µs."""
        due = now + round(self.limits.beat_s * 1e6)
        for follower in list(self.followers.values()):
            if follower.conn in self.followers:
                due = min(due, self._tend(now, follower))
        self._wholes(now)
        free = self.ration.free_at(now) if self.waiting else None
        return max(due if free is None else min(due, free), now + STEP)

    def _tend(self, now: int, f: _Follower) -> int:
        """One broker's times; when the next of them is."""
        limits = self.limits
        if f.sent is not None and now >= f.answer_by:
            self._end(f, Disconnect("silent"))
            return now + STEP
        if now - f.beat_at >= round(limits.beat_s * 1e6):
            self._beat(now, f)
        ahead = 0 if f.ahead_since is None else now - f.ahead_since
        if ahead >= round(limits.ahead_s * 1e6) and not f.ahead_told:
            f.ahead_told = True
            self.event("broker_ahead", broker=f.name, theirs=f.position[:2], ours=self.history.state.position)
        due = f.beat_at + round(limits.beat_s * 1e6)
        return due if f.sent is None else min(due, f.answer_by)

    def _beat(self, now: int, f: _Follower) -> None:
        state, at = self.history.state, self.primary_at
        silent = -1 if at is None else max(now - at, 0) // 1000
        f.beat_at = now
        self.out(f.conn, Heartbeat(state.epoch, state.version, state.digest, self.primary_name, silent))

    def _have(self, f: _Follower, position: Position, refusal: str) -> None:
        """An answer: what the broker holds after the message that was out."""
        sent, was_whole = f.sent, f.whole_out
        self._answered(f)
        if (*position[:2], refusal) != (*f.position[:2], f.refusal):
            self._changes(f.name)
        f.refusal = refusal
        if was_whole and position[1]:
            f.lineage = self.history.state.cluster_id
        # Guards against sending the same again and again to one who turns it down.
        if position != sent and was_whole:
            f.refused = sent[:2]
            self.event("whole_refused", broker=f.name, theirs=position[:2], ours=sent[:2])
        elif position[:2] <= f.position[:2] and not was_whole:
            f.wants_whole = True
        f.position = position

    def _answered(self, f: _Follower) -> None:
        f.sent = None
        if f.whole_out:
            f.whole_out = False
            del self.ration.out[f.conn]

    def _feed(self, now: int, f: _Follower) -> None:
        """Send a broker what follows what it holds, unless something is out or due to it already."""
        state = self.history.state
        if f.sent is not None or f.queued or f.conn not in self.followers:
            return None
        if f.lineage and state.cluster_id and f.lineage != state.cluster_id:
            return self._end(f, Disconnect("lineage", self.limits.unfit_after_ms))
        if self._ahead(now, f) or not state.version or f.refused == state.position:
            return None
        changes = None
        if f.lineage and not f.wants_whole:
            self._compare(f)
            changes = self.history.since(*f.position)
        if changes is None:
            f.wants_whole = f.queued = True
            self.waiting.append(f.conn)
            self._wholes(now)
            return None
        if changes:
            last = changes[-1]
            self._send(now, f, Deltas(changes), (last.epoch, last.version, last.digest))
            return None
        return None

    def _ahead(self, now: int, f: _Follower) -> bool:
        """Whether a broker holds what we have not heard of yet: a standby may be a moment behind."""
        state = self.history.state
        if f.position[1] <= state.version and f.position[0] <= state.epoch:
            f.ahead_since, f.ahead_told = None, False
            return False
        if f.ahead_since is None:
            f.ahead_since = now
        return True

    def _compare(self, f: _Follower) -> None:
        ours = self.history.at(f.position[1])
        if ours is not None and ours != f.position:
            self.event("digest_differs", broker=f.name, theirs=f.position[:2], ours=ours[:2])

    def _wholes(self, now: int) -> None:
        """Begin the snapshots that the ration allows."""
        while self.waiting and self.ration.free_at(now) == now:
            f = self.followers.get(self.waiting.popleft())
            if f is None or not f.queued:
                continue
            f.queued = f.wants_whole = False
            # Guards against a history that was put back behind the broker while it stood in line.
            if self._ahead(now, f) or not self.history.state.version:
                continue
            self.ration.begin(now, f.conn)
            state, f.whole_out = self.history.state, True
            self._send(
                now, f, CompleteSnapshot(self.history.packed()), (state.epoch, state.version, state.digest)
            )

    def _send(self, now: int, f: _Follower, message: Message, after: Position) -> None:
        self.counters.invariant(f.sent is None, "one_message_out")
        f.sent, f.answer_by = after, now + round(self.limits.answer_s * 1e6)
        self.out(f.conn, message)

    def _refuse(self, conn: int, name: str, goodbye: Disconnect) -> None:
        if conn in self.followers:
            return self._end(self.followers[conn], goodbye)
        self.event(f"ended_{goodbye.reason}", broker=name[:64])
        self.end(conn, goodbye)
        return None

    def _end(self, f: _Follower, goodbye: Disconnect) -> None:
        self._forget(f)
        self.event(f"ended_{goodbye.reason}", broker=f.name)
        self.end(f.conn, goodbye)

    def _forget(self, f: _Follower) -> None:
        self._answered(f)
        del self.followers[f.conn], self.names[f.name]
        if f.queued:
            self.waiting.remove(f.conn)
        self._changes(f.name)

    def _changes(self, name: str) -> None:
        """Guards against names without end where nobody asks for `seen`."""
        self._changed.add(name)
        if len(self._changed) > 4 * self.limits.followers_most:
            self._all = True
            self._changed.clear()

    def _register(self, hello: Hello) -> Op | None:
        """What the state should say of a broker; none where it isn't to be registered, or can't be."""
        if not hello.address:
            return None
        op = Op(f"broker/{hello.name}", canonical(Broker(hello.address, hello.zone, hello.region)))
        try:
            place_of(op.key, op.value)
        except StateError as err:
            self.event("bad_address", broker=hello.name, why=str(err)[:120])
            return None
        return op

    def in_force(self) -> dict[str, tuple[int, int]]:
        """(run, version) of each connected broker: in force there but for what `refusals` says."""
        return {f.name: (f.run, f.position[1]) for f in self.followers.values()}

    def refusals(self, names: Iterable[str]) -> dict[str, str]:
        """Who of them has turned down some of what it holds, and why, the latter for `REASONS_MOST`."""
        found = {}
        for name in names:
            f = self.followers.get(self.names.get(name))
            if f is not None and f.refusal:
                found[name] = f.refusal if len(found) < REASONS_MOST else "refused"
        return found

    def seen(self, all: bool) -> AppliedReport | None:
        """What has changed of `in_force` and `refusals` since the last call, or all of it; None: nothing."""
        now, all = self.in_force(), all or self._all
        names = sorted(now if all else self._changed)
        told = [(name, *now.get(name, (0, -1))) for name in names]
        self._changed.clear()
        self._all = False
        return AppliedReport(all, told, self.refusals(names)) if told or all else None

    def registrations(self, state: FleetState) -> list[Op]:
        """Changes for connected brokers that the state has at another place, or not at all. Each should be
        tried alone: two brokers that say one address must not hold up the others."""
        wanted = [f.register for f in self.followers.values() if f.register]
        return [op for op in wanted if (e := state.entries.get(op.key)) is None or e.value != op.value]


def _sound(hello: Hello) -> bool:
    """Whether a Hello says a name and a position that can be."""
    held = hello.version > 0 and hello.epoch >= 0 and len(hello.digest) == 16
    return bool(KEY.fullmatch(f"broker/{hello.name}")) and (held if hello.cluster_id else hello.version == 0)
