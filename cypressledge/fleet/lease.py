"""Leases by a majority of time-bound votes: what a voter and a claimant decide. No I/O, told the time.

A voter votes for one process at a time and for a bounded time, on its own clock. A claimant holds a
lease while a majority of voters must still be voting for it, reckoned on its own clock from before it asked.
Nothing is written down: a voter that starts says nothing until whatever it may have granted has ended. The
argument, with every assumption, is in docs/leases.md; its guards are methods here of their own. Method:
Gray and Cheriton, "Leases" (1989), for the timers; PaxosLease (Trencseni et al., 2012) for majorities without
a disk. All times are µs on the process's own clock, all rates within `drift` (parts in a million) of true.
"""

from collections.abc import Collection
from dataclasses import dataclass, field
from itertools import pairwise

from cypressledge.fleet.messages import (
    LeaseStatus,
    LeaseStatusRequest,
    ReleaseLease,
    VoteGranted,
    VoteRejected,
    VoteRequest,
)

MILLION = 1_000_000
NEVER = -(1 << 62)  # µs: a moment before all others; a clock may begin anywhere
LEASES_MOST = 1_024  # leases that one voter keeps a state of
ROUNDS_MOST = 8  # rounds of one claim whose answers still count


def held_for(term: int, drift: int) -> int:
    """µs that a claimant may count on a vote of `term` µs, from before it asked: a voter's clock may run
    fast by `drift` parts in a million and its own slow by as much."""
    return term * (MILLION - drift) // (MILLION + drift)


class VoterSetError(ValueError):
    """A change of voters that is turned down."""


@dataclass(slots=True)
class Electorate:
    """Which brokers vote, by version, and who is known to answer from which version on.

    Neighbouring versions differ by one voter, so their majorities meet. Versions further apart need not: a
    set is gone by only once, for each set between the first known and it, a majority has been refusing what
    is older for a whole longest term. `grace` is how long a process still answers the version before its own.
    """

    name: str
    longest: int
    sets: dict[int, tuple[str, ...]]
    version: int
    since: int  # when this process took `version`
    grace: int = 0
    heard: dict[str, list[tuple[int, int]]] = field(default_factory=dict)  # by voter: (floor, first heard)

    @property
    def voters(self) -> tuple[str, ...]:
        """The voters of the version in force here."""
        return self.sets[self.version]

    @property
    def majority(self) -> int:
        """Votes that make a majority of them."""
        return len(self.voters) // 2 + 1

    def floor(self, now: int) -> int:
        """The oldest version this process answers."""
        return self.version if now >= self.since + self.grace else self.version - 1

    def hear(self, now: int, name: str, floor: int) -> None:
        """A broker has said from which version on it answers."""
        known = self.heard.setdefault(name, [])
        if not known or floor > known[-1][0]:
            known.append((floor, now))
            del known[:-4]

    def forget(self, names: Collection[str]) -> None:
        """These are the brokers there are: guards against a list that grows with each one replaced. What is
        known of a voter of any version stays."""
        kept = set(names).union(*self.sets.values())
        for name in self.heard.keys() - kept:
            del self.heard[name]

    def settled(self, now: int, version: int) -> bool:
        """Whether a majority of this version's voters has refused what is older for a whole longest term."""

        def refuses(voter: str) -> bool:
            if voter == self.name:
                return version <= self.version and now >= self.since + self.grace + self.longest
            return any(f >= version and now >= at + self.longest for f, at in self.heard.get(voter, ()))

        voters = self.sets[version]
        return sum(map(refuses, voters)) > len(voters) // 2

    def ready(self, now: int) -> bool:
        """Whether leases may be asked for and granted under the version in force."""
        between = [v for v in self.sets if min(self.sets) < v < self.version]
        return all(self.settled(now, v) for v in between)

    def answers(self, now: int, version: int) -> bool:
        """Whether a request that goes by this version is answered."""
        return version >= self.floor(now)

    def take(self, now: int, version: int, sets: dict[int, tuple[str, ...]]) -> bool:
        """Take a file's sets; whether that changed the version. Raises `VoterSetError`, and changes nothing,
        where the file is older, is more than one change ahead, or the last change has not settled."""
        if version < self.version:
            raise VoterSetError(f"voters version {version} is older than {self.version}, which is in force")
        if version == self.version:
            if set(sets[version]) != set(self.voters):
                raise VoterSetError(f"voters version {version} is in force with other voters")
            return False
        check_sets(sets)
        if version > self.version + 1:
            raise VoterSetError(f"voters version {version} is more than one change from {self.version}")
        check_sets({self.version: self.voters, version: sets[version]})
        if not self._may_follow(now):
            raise VoterSetError(f"voters version {self.version} has not settled yet; wait a term, then again")
        self.sets[version] = sets[version]
        self.version, self.since = version, now
        return True

    def _may_follow(self, now: int) -> bool:
        return self.version == min(self.sets) or self.settled(now, self.version)


def check_sets(sets: dict[int, tuple[str, ...]]) -> None:
    """Whether neighbouring versions differ by one voter added or one left out. Raises `VoterSetError`."""
    versions = sorted(sets)
    for old, new in pairwise(versions):
        if new != old + 1:
            raise VoterSetError(f"voters version {old + 1} is missing between {old} and {new}")
        if len(set(sets[old]) ^ set(sets[new])) != 1:
            raise VoterSetError(f"voters version {new} changes more than one voter against version {old}")


@dataclass(slots=True)
class Vote:
    """A vote that is out: for whom, until when on this voter's clock, and in which of its rounds."""

    holder: str
    run: int
    round: int
    token: int
    until: int


@dataclass(slots=True)
class Standing:
    """How one lease stands with one voter."""

    seen: int  # the highest token this voter knows to have been asked for
    vote: Vote | None = None
    shut: tuple[int, int] = (0, 0)  # run and round of the last giving back


class Voter:
    """One voter's side of all leases. `base`: the lowest token it grants is above this; µs of the wall clock
    at the start serve, so that tokens grow over a restart of all voters."""

    def __init__(self, electorate: Electorate, now: int, base: int) -> None:
        self.electorate, self.started, self.base = electorate, now, base
        self.leases: dict[str, Standing] = {}

    def mute(self, now: int) -> int:
        """µs until this voter votes: what its former self may have granted has to end first."""
        return max(0, self.started + self.electorate.longest - now)

    def free(self, now: int, vote: Vote | None, run: int) -> bool:
        """Whether a vote may be given to `run`."""
        return vote is None or vote.run == run or now >= vote.until

    def grows(self, standing: Standing, ask: VoteRequest) -> bool:
        """Whether the token asked for is above all others, or is this process's own still. A holder renews
        under its token whatever others have tried: while it holds, no other can have held a higher one."""
        own = standing.vote is not None and standing.vote.run == ask.instance_id
        return (
            ask.token > standing.seen
            or ask.renewal
            or (own and ask.token == standing.seen == standing.vote.token)
        )

    def look(self, now: int, asked: LeaseStatusRequest) -> LeaseStatus:
        """How a lease stands; binds nobody."""
        standing = self.leases.get(asked.lease) or Standing(self.base)
        vote = standing.vote
        live = vote is not None and now < vote.until
        return LeaseStatus(
            asked.lease,
            vote.holder if live else "",
            vote.until - now if live else 0,
            standing.seen,
            self.mute(now),
        )

    def ask(self, now: int, holder: str, ask: VoteRequest) -> VoteGranted | VoteRejected | None:
        """Grant a vote or say why not; None for a round that has been given back or overtaken."""
        standing = self.leases.get(ask.lease)
        if standing is None:
            if len(self.leases) >= LEASES_MOST:
                return self._refuse(now, ask, Standing(self.base), "full")
            standing = self.leases[ask.lease] = Standing(self.base)
        vote = standing.vote
        if self._old(standing, ask):
            return None
        why = self._why_not(now, standing, ask)
        if why:
            return self._refuse(now, ask, standing, why)
        repeat = vote is not None and (vote.run, vote.round) == (ask.instance_id, ask.round)
        if not repeat:  # a second copy of an Ask lengthens nothing
            until = now + ask.term
            if vote is not None and vote.run == ask.instance_id:
                until = max(until, vote.until)
            standing.vote = Vote(holder, ask.instance_id, ask.round, ask.token, until)
            standing.seen = max(standing.seen, ask.token)
        return VoteGranted(ask.lease, ask.instance_id, ask.round, ask.token)

    def _old(self, standing: Standing, ask: VoteRequest) -> bool:
        if standing.shut[0] == ask.instance_id and ask.round <= standing.shut[1]:
            return True
        vote = standing.vote
        return vote is not None and vote.run == ask.instance_id and ask.round < vote.round

    def _why_not(self, now: int, standing: Standing, ask: VoteRequest) -> str:
        if self.mute(now):
            return "mute"
        if not self.electorate.answers(now, ask.voters_version) or not self.electorate.ready(now):
            return "version"
        if ask.term > self.electorate.longest:
            return "term"
        if not self.free(now, standing.vote, ask.instance_id):
            return "held"
        return "" if self.grows(standing, ask) else "token"

    def _refuse(self, now: int, ask: VoteRequest, standing: Standing, why: str) -> VoteRejected:
        vote = standing.vote
        live = vote is not None and now < vote.until
        left = self.mute(now) if why == "mute" else vote.until - now if live else 0
        return VoteRejected(
            ask.lease, ask.instance_id, ask.round, why, vote.holder if live else "", left, standing.seen
        )

    def covers(self, vote: Vote, back: ReleaseLease) -> bool:
        """Whether a giving back is of this vote: one of an earlier round is not."""
        return vote.run == back.instance_id and vote.round <= back.round

    def give_back(self, back: ReleaseLease) -> None:
        """Free a vote."""
        standing = self.leases.get(back.lease)
        if standing is None:
            return
        if standing.vote is not None and self.covers(standing.vote, back):
            standing.vote = None
        if standing.shut[0] != back.instance_id or standing.shut[1] < back.round:
            standing.shut = (back.instance_id, back.round)

    def learn(self, lease: str, token: int) -> None:
        """Somebody knows of a higher token."""
        standing = self.leases.get(lease)
        if standing is None and len(self.leases) < LEASES_MOST:
            standing = self.leases[lease] = Standing(self.base)
        if standing is not None:
            standing.seen = max(standing.seen, token)


class Claim:
    """One process's claim to one lease. It holds while `holds(now)` says so, and only then."""

    def __init__(self, lease: str, run: int, term: int, drift: int, electorate: Electorate) -> None:
        self.lease, self.run, self.term, self.drift = lease, run, term, drift
        self.electorate = electorate
        self.round = 0
        self.token = 0
        self.floor = 0  # no token up to this one is asked for
        self.renewals: set[int] = set()  # rounds that count only while the lease is held
        self.began: dict[int, int] = {}  # rounds whose answers count: when each was begun
        self.grants: dict[str, int] = {}  # by voter: until when its vote counts, on this clock
        self.refusals: dict[str, VoteRejected] = {}

    def span(self) -> int:
        """µs from the beginning of a round that a vote of it counts for."""
        return held_for(self.term, self.drift)

    def begin(self, now: int) -> int:
        """The moment from which a new round's votes count: before any is asked for."""
        return now

    def until(self) -> int:
        """The moment up to which a majority of voters votes for this process."""
        grants = self.grants
        ends = sorted([grants.get(v, NEVER) for v in self.electorate.voters], reverse=True)
        return ends[self.electorate.majority - 1]

    def holds(self, now: int) -> bool:
        """Whether the lease is held now. A check ages at once: see the token, and `left`."""
        return now < self.until()

    def left(self, now: int) -> int:
        """µs that the lease is held for without a further vote."""
        return max(0, self.until() - now)

    def ask(self, now: int) -> VoteRequest | None:
        """A new round, to be sent to every voter: a renewal under the same token while the lease is held,
        else a new claim under a higher one. None while the voter set may not be gone by."""
        if not self.electorate.ready(now):
            return None
        renews = self.holds(now)
        if not renews:
            self.drop()
            self.token = self.floor + 1
        self.round += 1
        if renews:
            self.renewals.add(self.round)
        self.refusals.clear()
        self.began[self.round] = self.begin(now)
        while len(self.began) > ROUNDS_MOST:
            self.renewals.discard(min(self.began))
            del self.began[min(self.began)]
        self.floor = max(self.floor, self.token)
        return VoteRequest(
            self.lease, self.run, self.round, self.token, self.term, self.electorate.version, renews
        )

    def counts(self, grant: VoteGranted) -> bool:
        """Whether a grant is an answer to a round of this claim that is still open."""
        return grant.instance_id == self.run and grant.token == self.token and grant.round in self.began

    def granted(self, now: int, voter: str, grant: VoteGranted) -> bool:
        """Count a vote that came at `now`; whether it counts."""
        if not self.counts(grant) or self.lapsed(now, grant.round):
            return False
        ends = self.began[grant.round] + self.span()
        self.grants[voter] = max(ends, self.grants.get(voter, NEVER))
        return True

    def lapsed(self, now: int, round_: int) -> bool:
        """Whether a renewal's answer comes after the lease has ended: another may have held it since, under a
        higher token."""
        return round_ in self.renewals and not self.holds(now)

    def refused(self, voter: str, refuse: VoteRejected) -> None:
        """Remember a refusal of the round that is on."""
        if refuse.instance_id == self.run and refuse.round == self.round:
            self.refusals[voter] = refuse
        self.learn(refuse.token)

    def learn(self, token: int) -> None:
        """Somebody knows of a higher token."""
        self.floor = max(self.floor, token)

    def hopeless(self, alive: frozenset[str]) -> bool:
        """Whether the round that is on can't win a majority of those that are there and have not refused."""
        may = [
            v for v in self.electorate.voters if v not in self.refusals and (v in alive or v in self.grants)
        ]
        return len(may) < self.electorate.majority

    def drop(self) -> None:
        """Hold nothing: votes, and answers that are still on their way, count no more."""
        self.grants.clear()
        self.began.clear()
        self.renewals.clear()

    def give_back(self) -> ReleaseLease:
        """Give the lease, or a try for it, back. Nothing may be done under it from here on."""
        self.drop()
        return ReleaseLease(self.lease, self.run, self.round)
