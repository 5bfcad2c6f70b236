"""Membership: which peers are alive, suspect or gone, and under which incarnation.

No I/O: callers pass the time in µs. Method: SWIM (Das, Gupta, Motivala, 2002). In each period one peer is
pinged, in a shuffled round. A peer that does not answer is pinged through others, then becomes suspect, then
gone. Updates are sent with the pings as gossip. A broker's cost does not depend on the size of the fleet,
except for the size of the gossip. Incarnations only grow: a process starts with the wall clock's ms, and
raises its incarnation above any that it receives about its former instance, so clocks need not be right.
"""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum

from cypressledge.fleet.clock import NEVER
from cypressledge.fleet.messages import Ack, AnyItem, GossipUpdate, IndirectPing, Ping

MAX_PING_UPDATES = 24  # updates; sent with one ping or ack, unless the receiver has just started
MAX_UPDATES_TO_NEW_PEER = 96  # updates; sent to such a receiver: they fit a datagram whatever the names
MIN_ANNOUNCE_TARGETS = 8  # peers; a starting process pings this many at once
ANNOUNCE_FLEET_SIZE = 200  # peers; in larger fleets the number pinged at start grows in proportion to this
LEAVE_TARGETS = 8  # peers; notified when this broker leaves
INDIRECT_PINGS = 3  # peers; asked to ping a peer that does not answer
MAX_RELAYED_PINGS = 64  # pings; sent on others' behalf and not answered yet


class MemberState(IntEnum):
    """State of a member as this broker knows it. The numbers are the wire format."""

    ALIVE = 0
    SUSPECT = 1
    GONE = 2


# Module constants: access to an enum's attribute is slow, and `alive` checks every member.
ALIVE, SUSPECT, GONE = MemberState
STATES = frozenset(MemberState)


@dataclass(slots=True)
class Member:
    """The state of one peer. Times in µs."""

    name: str
    incarnation: int = 0
    state: MemberState = GONE
    state_since: int = 0
    last_heard_at: int = 0  # µs; when its last own message was received, 0 if none was
    notified_at: int = NEVER  # µs; when it was last notified that its messages are ignored


@dataclass(slots=True)
class PendingPing:
    """A ping of this broker that is not answered yet. `sent_at` in µs."""

    target: str
    sent_at: int
    is_indirect: bool = False  # others have been asked to ping the target as well


@dataclass(slots=True)
class RelayedPing:
    """A ping sent on behalf of `requester`, which receives the answer under its own `sequence` number."""

    requester: str
    sequence: int
    target: str


class Membership:
    """One broker's view of all members.

    `period`: µs between pings; `seed` for the random choice of peers; `send` gets (peer, item); `on_change`
    gets (member, reason) at each change of a peer's state.
    """

    def __init__(
        self,
        name: str,
        peers: list[str],
        incarnation: int,
        period: int,
        seed: int,
        send: Callable[[str, AnyItem], None],
        on_change: Callable[[Member, str], None],
    ) -> None:
        self.name = name
        self.period = period
        self.send = send
        self.on_change = on_change
        self.incarnation = incarnation
        self.random = random.Random(seed)
        self.members = {p: Member(p) for p in peers if p != name}
        self.suspects: dict[str, Member] = {}
        self.transmissions_left: dict[str, int] = {}  # by member: times that its update is still to be sent
        self.ping_round: list[str] = []
        self.pending_pings: dict[int, PendingPing] = {}
        self.relayed_pings: dict[int, RelayedPing] = {}
        self.sequence = 0  # number of the newest ping
        self.next_ping_at = 0
        self.leaving = False
        self._alive: frozenset[str] | None = None  # cached result of `alive`; None after a change

    def set_peers(self, peers: list[str]) -> None:
        """Set the peers; those that stay keep their state."""
        before = self.members
        self.members = {p: before.get(p) or Member(p) for p in peers if p != self.name}
        for name in self.transmissions_left.keys() - self.members.keys():
            del self.transmissions_left[name]
        for name in self.suspects.keys() - self.members.keys():
            del self.suspects[name]
        self.ping_round = [name for name in self.ping_round if name in self.members]
        # New peers join the current round, which may take minutes in a large fleet.
        for name in [n for n in self.members if n not in before]:
            self.ping_round.insert(self.random.randint(0, len(self.ping_round)), name)
        self._alive = None

    def alive(self) -> frozenset[str]:
        """Return the names of the members that are alive, including this broker unless it is leaving."""
        if self._alive is None:
            names = {m.name for m in self.members.values() if m.state == ALIVE}
            self._alive = frozenset(names | (set() if self.leaving else {self.name}))
        return self._alive

    def missing(self) -> list[str]:
        """Return the sorted names of the peers that are not alive."""
        return sorted(m.name for m in self.members.values() if m.state != ALIVE)

    def observe(self, now: int, name: str, incarnation: int) -> bool:
        """Record that a message of a peer was received; return whether the message is accepted.

        Messages of a former instance are ignored, and so are those of a peer that is gone here but does not
        know it: the peer is notified, and has to raise its incarnation first.
        """
        member = self.members.get(name)
        if member is None:
            return False
        is_unaware = incarnation == member.incarnation and member.state == GONE and member.last_heard_at
        if incarnation < member.incarnation or is_unaware:
            self._notify_ignored(now, member)
            return False
        member.last_heard_at = now
        if incarnation > member.incarnation or member.state != ALIVE:
            self._set_state(now, member, incarnation, ALIVE, "message")
        return True

    def _notify_ignored(self, now: int, member: Member) -> None:
        """Notify a peer of its state here, at most once per period. If it ignores this broker's messages as
        well, answering each one would make both notify each other without end."""
        if now - member.notified_at >= self.period:
            member.notified_at = now
            self.send(member.name, Ack(0, "", [self._update_of(member)]))

    def refute(self, items: list[AnyItem]) -> None:
        """Apply the updates about this broker from a message that is ignored otherwise. Brokers that were all
        partitioned from each other would consider each other gone for ever without it."""
        for item in items:
            if isinstance(item, Ping | Ack):
                for update in item.updates:
                    if update.name == self.name:
                        self._refute_update(update)

    def receive(self, now: int, sender: str, item: Ping | Ack | IndirectPing) -> None:
        """Handle a membership message of a peer whose messages are accepted."""
        if isinstance(item, Ping):
            self._apply_updates(now, item.updates)
            self.send(sender, Ack(item.sequence, "", self._updates_for(sender)))
        elif isinstance(item, IndirectPing):
            if item.target in self.members:
                self._relay_ping(sender, item)
        else:
            self._apply_updates(now, item.updates)
            if item.sequence in self.relayed_pings:
                relayed = self.relayed_pings.pop(item.sequence)
                self.send(relayed.requester, Ack(relayed.sequence, relayed.target, []))
            elif item.sequence in self.pending_pings:
                self._receive_ack(now, item)

    def _relay_ping(self, requester: str, request: IndirectPing) -> None:
        self.sequence += 1
        self.relayed_pings[self.sequence] = RelayedPing(requester, request.sequence, request.target)
        while len(self.relayed_pings) > MAX_RELAYED_PINGS:
            del self.relayed_pings[min(self.relayed_pings)]
        self.send(request.target, Ping(self.sequence, []))

    def _receive_ack(self, now: int, ack: Ack) -> None:
        ping = self.pending_pings.pop(ack.sequence)
        member = self.members.get(ping.target)
        if ack.target and member is not None and member.state == SUSPECT:
            self._set_state(now, member, member.incarnation, ALIVE, "indirect ack")

    def tick(self, now: int) -> int:
        """Send pings and change the state of peers that have not answered in time; return when the next tick
        is due, µs."""
        for sequence, ping in list(self.pending_pings.items()):
            self._check_pending(now, sequence, ping)
        for member in list(self.suspects.values()):
            if now - member.state_since >= self.suspicion_timeout():
                self._set_state(now, member, member.incarnation, GONE, "suspicion timeout")
        if now >= self.next_ping_at:
            self.next_ping_at = now + self.period
            self._ping(now)
        if not self.pending_pings:
            return self.next_ping_at
        return min(self.next_ping_at, now + self.period // 4)

    def suspicion_timeout(self) -> int:
        """Return the µs that a suspect has to refute the suspicion: longer in a larger fleet, where gossip
        takes longer to spread."""
        return self.period * (3 + math.ceil(math.log10(len(self.members) + 1)))

    def _check_pending(self, now: int, sequence: int, ping: PendingPing) -> None:
        """Request indirect pings after half a period without an ack; drop the ping after two periods, and
        suspect its target if nothing else was received from it either."""
        waited = now - ping.sent_at
        if not ping.is_indirect and waited >= self.period // 2:
            ping.is_indirect = True
            self._request_indirect_pings(sequence, ping.target)
        elif waited >= 2 * self.period:
            del self.pending_pings[sequence]
            member = self.members.get(ping.target)
            if member is not None and member.state == ALIVE and member.last_heard_at < ping.sent_at:
                self._set_state(now, member, member.incarnation, SUSPECT, "no ack")

    def _request_indirect_pings(self, sequence: int, target: str) -> None:
        others = [n for n, m in self.members.items() if m.state == ALIVE and n != target]
        for name in self.random.sample(others, min(INDIRECT_PINGS, len(others))):
            self.send(name, IndirectPing(sequence, target))

    def _ping(self, now: int) -> None:
        for name in self._next_targets():
            if name in self.members:
                self.sequence += 1
                self.pending_pings[self.sequence] = PendingPing(name, now)
                self.send(name, Ping(self.sequence, self._updates_for(name)))

    def _next_targets(self) -> list[str]:
        """Return the peers to ping in this period: the next of the round and, if that one is gone, a random
        one that is not, so that pings of gone peers do not slow the detection of failures."""
        if not self.members:
            return []
        if not self.ping_round:
            self.ping_round = list(self.members)
            self.random.shuffle(self.ping_round)
        target = self.ping_round.pop()
        member = self.members.get(target)
        if member is not None and member.state != GONE:
            return [target]
        others = [m.name for m in self.members.values() if m.state != GONE and m.name != target]
        return [target, self.random.choice(others)] if others else [target]

    def announce(self) -> None:
        """Ping some peers at the start of the process, to learn of all others from their answers. An answer
        has room for a limited number of updates, so more peers are pinged in a larger fleet."""
        names = list(self.members)
        count = max(MIN_ANNOUNCE_TARGETS, MIN_ANNOUNCE_TARGETS * len(names) // ANNOUNCE_FLEET_SIZE)
        for name in self.random.sample(names, min(count, len(names))):
            self.send(name, Ping(0, [self._own_update(ALIVE)]))

    def leave(self) -> None:
        """Notify some peers that this broker leaves; they spread it as gossip."""
        self.leaving = True
        self._alive = None
        update = [self._own_update(GONE)]
        alive = [m.name for m in self.members.values() if m.state == ALIVE]
        for name in self.random.sample(alive, min(LEAVE_TARGETS, len(alive))):
            self.send(name, Ping(0, update))

    # Gossip updates

    def _own_update(self, state: MemberState) -> GossipUpdate:
        return GossipUpdate(self.name, self.incarnation, state)

    @staticmethod
    def _update_of(member: Member) -> GossipUpdate:
        return GossipUpdate(member.name, member.incarnation, member.state)

    def _updates_for(self, recipient: str) -> list[GossipUpdate]:
        """Return the updates to send with a message: those sent least often so far, or, to a peer that has
        just started, a random sample of all members that fits the datagram."""
        own = self._own_update(GONE if self.leaving else ALIVE)
        if self._has_just_started(self.members.get(recipient)):
            known = [m for m in self.members.values() if m.incarnation]
            sample = self.random.sample(known, min(MAX_UPDATES_TO_NEW_PEER, len(known)))
            return [own, *map(self._update_of, sample)]
        names = self._take_gossip()
        return [own, *(self._update_of(self.members[n]) for n in names if n in self.members)]

    def _has_just_started(self, member: Member | None) -> bool:
        """Return whether a peer may not know the others yet: it is not alive, or its last message was
        received less than two periods after it became alive."""
        if member is None or member.state != ALIVE:
            return True
        return member.last_heard_at - member.state_since < 2 * self.period

    def _take_gossip(self) -> list[str]:
        """Return the members whose updates were sent least often, and count one more transmission of each."""
        names = list(self.transmissions_left)
        if len(names) > MAX_PING_UPDATES:
            names = sorted(names, key=self.transmissions_left.__getitem__, reverse=True)[:MAX_PING_UPDATES]
        for name in names:
            self.transmissions_left[name] -= 1
            if self.transmissions_left[name] <= 0:
                del self.transmissions_left[name]
        return names

    def _apply_updates(self, now: int, updates: list[GossipUpdate]) -> None:
        for update in updates:
            if update.name == self.name:
                self._refute_update(update)
            elif update.name in self.members and update.state in STATES:
                self._apply_update(now, self.members[update.name], update)

    def _refute_update(self, update: GossipUpdate) -> None:
        """Raise this broker's incarnation above that of an update about it, unless the update is correct."""
        if update.incarnation > self.incarnation or (
            update.incarnation == self.incarnation and update.state != ALIVE and not self.leaving
        ):
            self.incarnation = update.incarnation + 1

    def _apply_update(self, now: int, member: Member, update: GossipUpdate) -> None:
        newer = update.incarnation > member.incarnation
        worse = update.incarnation == member.incarnation and update.state > member.state
        # A message of the peer itself within the last period outweighs another broker's suspicion.
        recently_heard = now - member.last_heard_at < self.period
        if worse and update.state == SUSPECT and recently_heard:
            return
        if newer or worse:
            self._set_state(now, member, update.incarnation, MemberState(update.state), "gossip")

    def _set_state(self, now: int, member: Member, incarnation: int, state: MemberState, reason: str) -> None:
        restarted = 0 < member.incarnation < incarnation and state == ALIVE
        member.incarnation = incarnation
        if state != member.state or restarted:
            member.state = state
            member.state_since = now
            self._alive = None
            if state == SUSPECT:
                self.suspects[member.name] = member
            else:
                self.suspects.pop(member.name, None)
            self.on_change(member, "restarted" if restarted else reason)
        self.transmissions_left[member.name] = 3 * math.ceil(math.log2(len(self.members) + 2))
