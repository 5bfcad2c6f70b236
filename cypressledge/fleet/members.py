"""Which peers are alive, suspect or gone, and under which incarnation. No I/O, told the time (µs).

Method: SWIM (Das, Gupta, Motivala, 2002): each period one peer is pinged, in a shuffled round; who does not
answer is asked for through others, then suspect, then gone; the news rides on the pings. A broker's cost does
not depend on the size of the fleet but for the size of the news. An incarnation only grows: one that starts
takes the wall clock's ms, and goes above whatever it is told of its former self, so clocks need not be right.
"""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass

from cypressledge.fleet.clock import NEVER
from cypressledge.fleet.messages import Ack, GossipUpdate, IndirectPing, Ping

ALIVE, SUSPECT, GONE = 0, 1, 2
STATES = ("alive", "suspect", "gone")
WORDS_MOST = 24  # words on one ping, but for the first to a broker that has just started
FIRST_WORDS = 96  # on that first one: under a datagram's bound whatever the names
GREETED = 8  # peers that one that starts pings at once, in fleets
GREETED_UP_TO = 200  # of this size; in larger ones as many more
THROUGH = 3  # peers that are asked to ping another


@dataclass(slots=True)
class Member:
    """What is known of one peer."""

    name: str
    incarnation: int = 0
    state: int = GONE
    since: int = 0
    heard: int = 0  # when it last spoke itself
    told: int = NEVER  # when it was last told that it is not listened to


@dataclass(slots=True)
class Probe:
    """A ping that is out."""

    target: str
    sent: int
    widened: bool = False


class Members:
    """One broker's view of all. `out` gets (peer, item); `changed` is told each change of a peer's state."""

    def __init__(
        self,
        name: str,
        peers: list[str],
        incarnation: int,
        period: int,
        seed: int,
        out: Callable[[str, object], None],
        changed: Callable[[Member, str], None],
    ) -> None:
        self.name, self.period, self.out, self.changed = name, period, out, changed
        self.incarnation, self.random = incarnation, random.Random(seed)
        self.members = {p: Member(p) for p in peers if p != name}
        self.suspects: dict[str, Member] = {}
        self.words: dict[str, int] = {}  # whose news is to be spread, and how many times more
        self.round: list[str] = []
        self.probes: dict[int, Probe] = {}
        self.asked_for: dict[int, tuple[str, int, str]] = {}  # pings on others' behalf
        self.number, self.due, self.leaving, self._alive = 0, 0, False, None

    def rename(self, peers: list[str]) -> None:
        """The file names other peers now; those that stay keep what is known of them."""
        before = self.members
        self.members = {p: before.get(p) or Member(p) for p in peers if p != self.name}
        for known in (self.words, self.suspects):
            for name in known.keys() - self.members.keys():
                del known[name]
        self.round = [name for name in self.round if name in self.members]
        for name in [n for n in self.members if n not in before]:  # met in this round: it may take minutes
            self.round.insert(self.random.randint(0, len(self.round)), name)
        self._alive = None

    def alive(self) -> frozenset[str]:
        """All that can be counted on, this broker too."""
        if self._alive is None:
            names = {m.name for m in self.members.values() if m.state == ALIVE}
            self._alive = frozenset(names | (set() if self.leaving else {self.name}))
        return self._alive

    def missing(self) -> list[str]:
        """Peers that are not alive."""
        return sorted(m.name for m in self.members.values() if m.state != ALIVE)

    def hear(self, now: int, name: str, incarnation: int) -> bool:
        """A peer has spoken; whether it is to be listened to. Guards against words of a former self."""
        member = self.members.get(name)
        if member is None:
            return False
        # Guards against a former self, and against one given up that does not know: it goes above that.
        gone = incarnation == member.incarnation and member.state == GONE and member.heard
        if incarnation < member.incarnation or gone:
            if now - member.told >= self.period:  # not each time: its answer may not be listened to either
                member.told = now
                self.out(name, Ack(0, "", [self._word(member)]))
            return False
        member.heard = now
        if incarnation > member.incarnation or member.state != ALIVE:
            self._set(now, member, incarnation, ALIVE, "spoke")
        return True

    def refute(self, items: list) -> None:
        """Whoever is not listened to may still say what is held of this broker. Guards against brokers that
        were all cut off from each other, and would hold each other gone for good."""
        for item in items:
            if isinstance(item, Ping | Ack):
                for word in item.updates:
                    if word.name == self.name:
                        self._of_me(word)

    def receive(self, now: int, sender: str, item: Ping | Ack | IndirectPing) -> None:
        """One of the membership's own messages from a peer that is listened to."""
        if isinstance(item, Ping):
            self._learn(now, item.updates)
            self.out(sender, Ack(item.sequence, "", self._news(sender)))
        elif isinstance(item, IndirectPing):
            if item.target in self.members:
                self.number += 1
                self.asked_for[self.number] = (sender, item.sequence, item.target)
                self._trim()
                self.out(item.target, Ping(self.number, []))
        else:
            self._learn(now, item.updates)
            if item.sequence in self.asked_for:
                asker, number, target = self.asked_for.pop(item.sequence)
                self.out(asker, Ack(number, target, []))
            elif item.sequence in self.probes:
                self._answered(now, item)

    def _answered(self, now: int, ack: Ack) -> None:
        probe = self.probes.pop(ack.sequence)
        member = self.members.get(probe.target)
        if ack.target and member is not None and member.state == SUSPECT:
            self._set(now, member, member.incarnation, ALIVE, "answers through others")

    def tick(self, now: int) -> int:
        """Ping and give up as time has it; the moment of the next tick."""
        for number, probe in list(self.probes.items()):
            self._wait_for(now, number, probe)
        for member in list(self.suspects.values()):
            if now - member.since >= self.patience():
                self._set(now, member, member.incarnation, GONE, "silent")
        if now >= self.due:
            self.due = now + self.period
            self._ping(now)
        return self.due if not self.probes else min(self.due, now + self.period // 4)

    def patience(self) -> int:
        """µs that a suspect has to speak up: longer where news takes longer to get round."""
        return self.period * (3 + math.ceil(math.log10(len(self.members) + 1)))

    def _wait_for(self, now: int, number: int, probe: Probe) -> None:
        waited = now - probe.sent
        if not probe.widened and waited >= self.period // 2:
            probe.widened = True
            others = [m.name for m in self.members.values() if m.state == ALIVE and m.name != probe.target]
            for name in self.random.sample(others, min(THROUGH, len(others))):
                self.out(name, IndirectPing(number, probe.target))
        elif waited >= 2 * self.period:
            del self.probes[number]
            member = self.members.get(probe.target)
            if member is not None and member.state == ALIVE and member.heard < probe.sent:
                self._set(now, member, member.incarnation, SUSPECT, "no answer")

    def _ping(self, now: int) -> None:
        if not self.members:
            return
        if not self.round:
            self.round = list(self.members)
            self.random.shuffle(self.round)
        target = self.round.pop()
        targets = [target]
        # Those that are gone are asked after too, but not in place of the living.
        if self.members.get(target, Member("")).state == GONE:
            living = [m.name for m in self.members.values() if m.state != GONE and m.name != target]
            targets += [self.random.choice(living)] if living else []
        for name in targets:
            if name in self.members:
                self.number += 1
                self.probes[self.number] = Probe(name, now)
                self.out(name, Ping(self.number, self._news(name)))

    def _trim(self) -> None:
        while len(self.asked_for) > 64:
            del self.asked_for[min(self.asked_for)]

    def greet(self) -> None:
        """At the start: ping some at once, whose answers tell of all others: each of so many as an answer has
        room for, so with more peers more are asked."""
        names = list(self.members)
        most = max(GREETED, GREETED * len(names) // GREETED_UP_TO)
        for name in self.random.sample(names, min(most, len(names))):
            self.out(name, Ping(0, [GossipUpdate(self.name, self.incarnation, ALIVE)]))

    def leave(self) -> None:
        """This broker stops: some are told, and tell the others."""
        self.leaving, self._alive = True, None
        word = [GossipUpdate(self.name, self.incarnation, GONE)]
        living = [m.name for m in self.members.values() if m.state == ALIVE]
        for name in self.random.sample(living, min(8, len(living))):
            self.out(name, Ping(0, word))

    # News

    def _word(self, member: Member) -> GossipUpdate:
        return GossipUpdate(member.name, member.incarnation, member.state)

    def _news(self, to: str) -> list[GossipUpdate]:
        """What rides on a message: the news told least often yet, and all that is known to who just began."""
        member = self.members.get(to)
        own = GossipUpdate(self.name, self.incarnation, GONE if self.leaving else ALIVE)
        if member is None or member.state != ALIVE or member.heard - member.since < 2 * self.period:
            known = [m for m in self.members.values() if m.incarnation]
            return [own] + [self._word(m) for m in self.random.sample(known, min(FIRST_WORDS, len(known)))]
        news = list(self.words)
        if len(news) > WORDS_MOST:
            news = sorted(news, key=self.words.__getitem__, reverse=True)[:WORDS_MOST]
        for name in news:
            self.words[name] -= 1
            if self.words[name] <= 0:
                del self.words[name]
        return [own] + [self._word(self.members[n]) for n in news if n in self.members]

    def _learn(self, now: int, words: list[GossipUpdate]) -> None:
        for word in words:
            if word.name == self.name:
                self._of_me(word)
            elif word.name in self.members and word.state in (ALIVE, SUSPECT, GONE):
                self._of(now, self.members[word.name], word)

    def _of_me(self, word: GossipUpdate) -> None:
        if word.incarnation > self.incarnation or (
            word.incarnation == self.incarnation and word.state != ALIVE and not self.leaving
        ):
            self.incarnation = word.incarnation + 1

    def _of(self, now: int, member: Member, word: GossipUpdate) -> None:
        newer = word.incarnation > member.incarnation
        worse = word.incarnation == member.incarnation and word.state > member.state
        # A rumour of suspicion does not outweigh having heard the peer itself just now.
        if worse and word.state == SUSPECT and now - member.heard < self.period:
            return
        if newer or worse:
            self._set(now, member, word.incarnation, word.state, "told")

    def _set(self, now: int, member: Member, incarnation: int, state: int, why: str) -> None:
        again = 0 < member.incarnation < incarnation and state == ALIVE
        member.incarnation = incarnation
        if state != member.state or again:
            member.state, member.since, self._alive = state, now, None
            if state == SUSPECT:
                self.suspects[member.name] = member
            else:
                self.suspects.pop(member.name, None)
            self.changed(member, "restarted" if again else why)
        self.words[member.name] = 3 * math.ceil(math.log2(len(self.members) + 2))
