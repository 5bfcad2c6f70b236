"""One broker's part in all leases: when to look, to ask, to renew, to stand by, to give back. No I/O.

Safety is `lease.py`'s alone; here only time can be lost. First in line (`ranks.py`) asks at once, the others
stand by and ask later, so that votes are seldom split. Told the time in µs, on the clock that leases use.
"""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum

from msgspec import structs

from cypressledge.fleet.lease import Claim, Electorate, Voter
from cypressledge.fleet.messages import (
    LeaseReleased,
    LeaseStatus,
    LeaseStatusRequest,
    ReleaseLease,
    VoteGranted,
    VoteRejected,
    VoteRequest,
)
from cypressledge.fleet.ranks import LINE, line

MS = 1_000
HURRIES = 5  # quick tries after a hint that a lease is free


class Phase(Enum):
    """What a broker does about one lease."""

    IDLE = "idle"
    LOOKING = "looking"
    ASKING = "asking"
    HELD = "held"


@dataclass(frozen=True, slots=True)
class Place:
    """One thing to be held: a lease, or one of the places of a counted one (`group/0`, `group/1`, …)."""

    lease: str
    group: str
    term: int
    wanted: bool
    standby: int = LINE  # brokers in its line: those that hold another place of the group can't take it


@dataclass(frozen=True, slots=True)
class Granted:
    """A lease in hand: what acts under it need. `until` is on the clock that leases use."""

    lease: str
    group: str
    token: int
    run: int
    until: int


@dataclass(slots=True)
class Seat:
    """One broker's standing towards one place."""

    place: Place
    claim: Claim
    phase: Phase = Phase.IDLE
    due: int = 0
    began: int = 0
    hurry: int = 0
    split: int = 0  # tries in a row that split the vote
    seen: dict[str, LeaseStatus] = field(default_factory=dict)
    holder: str = ""  # as last told


def places(name: str, count: int, term: int, wanted: bool) -> list[Place]:
    """The places of a lease; one that is not counted is its own only place."""
    if count == 1:
        return [Place(name, name, term, wanted)]
    return [Place(f"{name}/{i}", name, term, wanted, LINE + count - 1) for i in range(count)]


class Keeper:
    """All leases as one broker sees them, and its vote in them where it is a voter.

    `out` gets (peer, item). `told` gets (event, lease, token, why); events: acquired, lost, given_back,
    not_won, voted_not."""

    def __init__(
        self,
        name: str,
        run: int,
        wanted: Iterable[Place],
        electorate: Electorate,
        drift: int,
        now: int,
        base: int,
        seed: int,
        out: Callable[[str, object], None],
        told: Callable[[str, str, int, str], None],
    ) -> None:
        self.name, self.run, self.drift, self.out, self.told = name, run, drift, out, told
        self.electorate, self.random = electorate, random.Random(seed)
        self.voter = Voter(electorate, now, base)
        self.seats: dict[str, Seat] = {}
        self.wants: set[str] = set()
        self.alive: frozenset[str] = frozenset({name})
        self.lines: dict[str, list[str]] = {}
        self.stopping, self.recall_due = False, now + 20 * MS
        self.phase = self.random.randrange(10_000 * MS)  # brokers' beats are not each other's
        self.soonest = 0  # before then no seat is due
        self.set_places(wanted, now)

    def set_places(self, wanted: Iterable[Place], now: int) -> None:
        """The leases there are. One that is held and named no more is given back."""
        wanted = {p.lease: p for p in wanted}
        for lease in [name for name in self.seats if name not in wanted]:
            self.give_back(lease, now, "no such lease any more")
            del self.seats[lease]
        for lease, place in wanted.items():
            if lease not in self.seats:
                claim = Claim(lease, self.run, place.term, self.drift, self.electorate)
                self.seats[lease] = Seat(place, claim, due=now + self._jitter(200 * MS))
        self.soonest = 0

    def set_alive(self, alive: frozenset[str], now: int) -> None:
        """Who is alive has changed: the lines for leases are other ones."""
        if alive is self.alive or alive == self.alive:  # mostly the same set: at size it costs to compare
            return
        self.alive, self.lines, self.soonest = alive, {}, 0
        for seat in self.seats.values():
            if seat.phase is Phase.IDLE and not seat.place.wanted and seat.holder not in alive:
                seat.due = min(seat.due, now + self._jitter(100 * MS))

    def rank(self, lease: str) -> int | None:
        """This broker's place in a lease's line; None where it is not in it."""
        found = self.lines.get(lease)
        if found is None:
            found = self.lines[lease] = line(lease, self.alive, self.seats[lease].place.standby)
        return found.index(self.name) if self.name in found else None

    # What operators and tasks ask

    def held(self, now: int) -> list[Granted]:
        """All that is held now."""
        return [g for lease in self.seats if (g := self.grant(lease, now)) is not None]

    def grant(self, lease: str, now: int) -> Granted | None:
        """A lease, if it is held now."""
        seat = self.seats.get(lease)
        if seat is None or seat.phase is not Phase.HELD or not seat.claim.holds(now):
            return None
        return Granted(lease, seat.place.group, seat.claim.token, self.run, seat.claim.until())

    def want(self, group: str, now: int) -> bool:
        """Ask for a lease that only those who want it ask for; whether there is one."""
        seats = [s for s in self.seats.values() if s.place.group == group and s.place.wanted]
        self.wants.add(group)
        for seat in seats:
            seat.due = min(seat.due, now)
        self.soonest = 0
        return bool(seats)

    def unwant(self, group: str, now: int) -> None:
        """Want it no more; give it back where it is held."""
        self.wants.discard(group)
        for seat in self.seats.values():
            if seat.place.group == group:
                self.give_back(seat.place.lease, now, "not wanted any more")

    def give_back(self, lease: str, now: int, why: str, rest: int = 0) -> bool:
        """Give a lease back; the next in line are told. Whatever was done under it must have ended.
        `rest`: µs in which this broker does not ask for it again. Whether it was held."""
        seat = self.seats.get(lease)
        if seat is None or seat.phase is Phase.IDLE:
            return False
        was, token = seat.phase, seat.claim.token
        self.soonest = 0
        self._send_back(seat)
        seat.phase, seat.due, seat.hurry = Phase.IDLE, now + max(rest, seat.place.term), 0
        if was is not Phase.HELD:
            return False
        if not seat.place.wanted:
            for name in line(lease, self.alive - {self.name}, seat.place.standby):
                self.out(name, LeaseReleased(lease, token))
        self.told("given_back", lease, token, why)
        return True

    def refused_by_resource(self, lease: str, token: int, now: int) -> None:
        """What was acted on knows of a higher token: give back, and ask under one above it."""
        seat = self.seats.get(lease)
        if seat is not None:
            self.give_back(lease, now, f"turned down: token {token} is known there")
            seat.claim.learn(token)
            seat.due, self.soonest = now, 0

    def asking(self) -> bool:
        """Whether a try for a lease is on."""
        return any(s.phase is Phase.ASKING for s in self.seats.values())

    # What comes in

    def receive(self, now: int, sender: str, item: object) -> None:
        """One of the leases' messages, from a peer that is listened to."""
        if isinstance(item, VoteRequest):
            answer = self.voter.ask(now, sender, item)
            if answer is not None:
                self.out(sender, answer)
                if isinstance(answer, VoteRejected) and answer.reason not in ("held", "token"):
                    self.told("voted_not", item.lease, item.token, answer.reason)
        elif isinstance(item, LeaseStatusRequest):
            self.out(sender, self._seen(now, item))
        elif isinstance(item, ReleaseLease):
            self.voter.give_back(item)
        elif (seat := self.seats.get(item.lease)) is not None:
            self._answered(now, seat, sender, item)
            self.soonest = min(self.soonest, seat.due)

    def _seen(self, now: int, look: LeaseStatusRequest) -> LeaseStatus:
        """How a lease stands here, with the highest token this broker knew of as voter or claimant."""
        seen = self.voter.look(now, look)
        seat = self.seats.get(look.lease)
        return (
            seen
            if seat is None or seat.claim.floor <= seen.token
            else structs.replace(seen, token=seat.claim.floor)
        )

    def _recall(self, now: int) -> None:
        """A voter that starts has forgotten all tokens: while it is mute it asks everybody for them."""
        left = self.voter.mute(now)
        if not left or self.name not in self.electorate.voters or now < self.recall_due:
            return
        self.recall_due = now + max(left // 3, 100 * MS)
        for name in sorted(self.alive - {self.name}):
            for lease in self.seats:
                self.out(name, LeaseStatusRequest(lease))

    def _answered(self, now: int, seat: Seat, sender: str, item: object) -> None:
        if isinstance(item, VoteGranted):
            self._granted(now, seat, sender, item)
        elif isinstance(item, VoteRejected):
            seat.claim.refused(sender, item)
            if seat.phase is Phase.ASKING and seat.claim.hopeless(self.alive):
                self._not_won(now, seat)
        elif isinstance(item, LeaseStatus):
            seat.claim.learn(item.token)
            if self.voter.mute(now):
                self.voter.learn(item.lease, item.token)
            if seat.phase is Phase.LOOKING and sender in self.electorate.voters:
                seat.seen[sender] = item
                self._looked(now, seat)
        elif isinstance(item, LeaseReleased):
            seat.claim.learn(item.token)
            if seat.phase is Phase.IDLE and self._may(seat):
                seat.hurry = HURRIES
                seat.due = now + (self.rank(seat.place.lease) or 0) * self._stagger(seat)

    def _granted(self, now: int, seat: Seat, sender: str, item: VoteGranted) -> None:
        if seat.phase not in (Phase.ASKING, Phase.HELD) or not seat.claim.granted(now, sender, item):
            return
        if seat.phase is Phase.ASKING and seat.claim.holds(now):
            seat.phase, seat.hurry, seat.split, seat.holder = Phase.HELD, 0, 0, self.name
            seat.due = self._beat(seat.began, seat.place.term // 3)
            self.told("acquired", seat.place.lease, seat.claim.token, "a majority voted")

    # What time brings

    def tick(self, now: int) -> int:
        """Do what is due; the moment of the next tick."""
        self._recall(now)
        if now < self.soonest:
            return self.soonest
        soonest = now + 1_000 * MS
        for seat in self.seats.values():
            if seat.phase is Phase.HELD and not seat.claim.holds(now):
                self._lose(now, seat)
            if now >= seat.due:
                self._due(now, seat)
            soonest = min(soonest, seat.due)
            if seat.phase is Phase.HELD:
                soonest = min(soonest, seat.claim.until())
        self.soonest = max(soonest, now + MS)
        return self.soonest

    def _beat(self, now: int, span: int) -> int:
        """The next of this broker's beats, `span` µs from now at most: what is done on them, for any lease,
        goes to each voter in one datagram."""
        return now + span - (now + self.phase) % span

    def _due(self, now: int, seat: Seat) -> None:
        if seat.phase is Phase.HELD:
            self._ask(now, seat)
            seat.due = self._beat(now, seat.place.term // 3)
        elif seat.phase is Phase.ASKING:
            self._not_won(now, seat)
        elif not self._may(seat):
            self._rest(now, seat, seat.place.term)
        elif seat.phase is Phase.LOOKING:
            self._rest(now, seat, seat.place.term // 2)
            self._looked(now, seat, late=True)
        elif seat.hurry:
            self._begin(now, seat)
        else:
            self._look(now, seat)

    def _may(self, seat: Seat) -> bool:
        """Whether this broker asks for a lease at all."""
        if self.stopping or not self.electorate.voters:
            return False
        group = seat.place.group
        counted = seat.place.standby > LINE
        if counted and any(
            s.place.group == group and s is not seat and s.phase in (Phase.HELD, Phase.ASKING)
            for s in self.seats.values()
        ):
            return False
        if seat.place.wanted:
            return group in self.wants
        return self.rank(seat.place.lease) is not None

    def _look(self, now: int, seat: Seat) -> None:
        """Ask the voters how a lease stands. One whose own vote is out knows enough to wait for its end."""
        own = self.voter.leases.get(seat.place.lease)
        vote = own.vote if own is not None else None
        if vote is not None and vote.run != self.run and now < vote.until and vote.holder in self.alive:
            seat.holder = vote.holder
            self._wait_for(now, seat, vote.until - now)
            return
        seat.phase, seat.due = Phase.LOOKING, now + min(seat.place.term // 6, 500 * MS)
        seat.seen.clear()
        for voter in self.electorate.voters:
            self.out(voter, LeaseStatusRequest(seat.place.lease))

    def _looked(self, now: int, seat: Seat, late: bool = False) -> None:
        """Ask as soon as a majority is free; rest once all that live have answered, or it is `late`: one that
        is mute may answer before those that are free."""
        majority = self.electorate.majority
        was = seat.claim.round  # a former self's vote is not this process's
        waits = sorted(
            max(s.remaining if s.holder != self.name or not was else 0, s.voting_quarantine)
            for s in seat.seen.values()
        )
        holders = [s.holder for s in seat.seen.values() if s.holder]
        if len(waits) < majority:
            return
        seat.holder = max(sorted(set(holders)), key=holders.count) if len(holders) >= majority else ""
        if waits[majority - 1] <= 0:
            self._begin_at(now, seat)
        elif late or all(v in seat.seen for v in self.electorate.voters if v in self.alive):
            self._wait_for(now, seat, waits[majority - 1])

    def _wait_for(self, now: int, seat: Seat, left: int) -> None:
        """Look again when a vote that is out may have ended."""
        behind = (self.rank(seat.place.lease) or 0) * self._stagger(seat)
        wait = min(left + behind, seat.place.term) + MS
        # A far end is looked at a little early, on a beat; the last look times the asking.
        beat = seat.place.term // 3
        early = (now + wait + self.phase) % beat
        self._rest(now, seat, wait - early if wait - early > beat // 2 else wait)

    def _begin_at(self, now: int, seat: Seat) -> None:
        """Ask at once if first in line; the others leave the first a moment."""
        behind = self.rank(seat.place.lease) or 0
        if seat.place.wanted or not behind or seat.hurry:
            self._begin(now, seat)
        else:
            seat.phase, seat.due, seat.hurry = Phase.IDLE, now + behind * self._stagger(seat), 1

    def _stagger(self, seat: Seat) -> int:
        return min(seat.place.term // 20, 100 * MS)

    def _begin(self, now: int, seat: Seat) -> None:
        seat.hurry = max(0, seat.hurry - 1)
        seat.phase, seat.began = Phase.ASKING, now
        if self._ask(now, seat):
            seat.due = now + min(seat.place.term // 6, 500 * MS)
        else:
            self._rest(now, seat, seat.place.term // 2)

    def _ask(self, now: int, seat: Seat) -> bool:
        ask = seat.claim.ask(now)
        if ask is None:
            return False
        for voter in self.electorate.voters:
            self.out(voter, ask)
        return True

    def _not_won(self, now: int, seat: Seat) -> None:
        """A try that can't win: free what votes it has, and try again when that may help."""
        refusals = list(seat.claim.refusals.values())
        why = refusals[-1].reason if refusals else "no answer"
        self._send_back(seat)
        self.told("not_won", seat.place.lease, seat.claim.token, why)
        if refusals and all(r.reason == "token" for r in refusals):
            pause = 0  # now a higher one is known
        elif seat.hurry:
            pause = 10 * MS + self._jitter(30 * MS)
        elif why in ("mute", "version", "full"):
            pause = min(max(r.remaining for r in refusals) or seat.place.term // 2, seat.place.term)
        elif why == "held":  # it was free when it was looked at: a split vote; look again, soon and not alike
            seat.split = min(seat.split + 1, 4)
            pause = 10 * MS + self._jitter(40 * MS << seat.split)
        else:
            pause = seat.place.term // 6
        self._rest(now, seat, pause + self._jitter(50 * MS))

    def _send_back(self, seat: Seat) -> None:
        back = seat.claim.give_back()
        for voter in self.electorate.voters:
            self.out(voter, back)

    def _lose(self, now: int, seat: Seat) -> None:
        token = seat.claim.token
        self._send_back(seat)
        seat.holder = ""
        self._rest(now, seat, self._jitter(100 * MS))
        self.told("lost", seat.place.lease, token, "no majority renewed it in time")

    def _rest(self, now: int, seat: Seat, pause: int) -> None:
        seat.phase, seat.due = Phase.IDLE, now + pause

    def _jitter(self, most: int) -> int:
        return self.random.randrange(most)
