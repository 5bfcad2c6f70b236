"""The lease's guards taken out one at a time, and the small worlds that the explorer walks. No I/O.

A check that can't fail says nothing: for every guard that docs/leases.md names there is a mutant here without
it, and a world in which the explorer has to find two holders or a shrinking token.
"""

from dataclasses import dataclass

from cypressledge.fleet.clock import NEVER
from cypressledge.fleet.leases.acquisition import LeaseAcquisition
from cypressledge.fleet.leases.electorate import Electorate
from cypressledge.fleet.leases.voter import Voter
from cypressledge.fleet.messages import ReleaseLease, VoteGranted, VoteRequest
from cypressledge.lab.model_checker import Bounds, Made

ONE = {1: ("a", "b", "c")}
ADDED = {1: ("a", "b", "c"), 2: ("a", "b", "c", "d")}
FAR = {1: ("a", "b", "c"), 2: ("a", "b", "c", "d"), 3: ("b", "c", "d")}
# p, a and b go by the first version; c, d and q have taken the third, and know that of each other.
APART = {
    "versions": {"q": 3, "c": 3, "d": 3},
    "known": dict.fromkeys("qcd", (1, 2, 3)),
    "heard": {"q": ("c", "d"), "c": ("d",), "d": ("c",)},
}

WORLDS = {
    b.name: b
    for b in (
        Bounds("drift", ONE, asks=1, clocks={"p": "slow", "q": "fast", "a": "fast", "b": "fast"}),
        Bounds("voter restart", ONE, asks=1, restarts=1, floors=(0, 150)),
        Bounds("give-back", ONE, asks=1, backs=1),
        Bounds("claimant restart", ONE, asks={"p": 2, "q": 1}, reborn=1, floors=(0, 2), clocks={"q": "fast"}),
        Bounds("renewal", ONE, asks=2, claimants=("p",), restarts=1),
        Bounds("voter added", ADDED, asks=1, versions={"q": 2, "d": 2}, rereads={"a": 1}),
        Bounds("voters far apart", FAR, asks=1, rereads={"b": 1}, tells=3, **APART),
    )
}
# p holds, q takes over when p has lapsed, and gives back; p's renewal is still on its way.
RIVAL = Bounds(
    "a late renewal",
    ONE,
    asks={"p": 2, "q": 1},
    term=12,
    backs=1,
    backers=("q",),
    clocks={"a": "fast", "b": "fast"},
)
# Beyond what every run of the tests walks (`lab model --deep`): longer terms, more rounds and restarts.
DEEP = {
    b.name: b
    for b in (
        Bounds("longer terms", ONE, term=12, asks=1, backs=1, clocks={"p": "slow", "a": "fast"}),
        RIVAL,
        Bounds("two rounds each", ONE, asks=2),
        Bounds("voter added, all reread", ADDED, asks=1, versions={"q": 2, "d": 2}, rereads={"a": 1, "p": 1}),
        Bounds("give-back and asking again", ONE, asks={"p": 2, "q": 1}, backs=1, floors=(0, 2)),
        Bounds("two restarts", ONE, asks=1, restarts=2, floors=(0, 150), clocks={"p": "slow", "a": "fast"}),
        Bounds("all voters restart", ONE, asks=1, restarts=3),
        Bounds("three claimants", ONE, asks=1, claimants=("p", "q", "r")),
        Bounds("restart and give-back", ONE, asks=1, restarts=1, backs=1, floors=(0, 150)),
    )
}


class NotMute(Voter):
    """Votes as soon as it has started."""

    def voting_quarantine(self, now: int) -> int:
        """Never."""
        return 0


class NoMargin(LeaseAcquisition):
    """Takes all clocks to run alike."""

    def vote_duration(self) -> int:
        """The whole term."""
        return self.term


class LateTimer(LeaseAcquisition):
    """Counts a vote from when it hears of it."""

    def record_vote(self, now: int, voter: str, grant: VoteGranted) -> bool:
        """As if the round had begun just now."""
        if not self.answers_open_round(grant):
            return False
        self.vote_expirations[voter] = max(
            now + self.vote_duration(), self.vote_expirations.get(voter, NEVER)
        )
        return True


class AnyToken(Voter):
    """Grants under any token."""

    def is_token_acceptable(self, standing, ask: VoteRequest) -> bool:
        """Always."""
        return True


class TwoVotes(Voter):
    """Votes for a second process while its vote is out."""

    def is_free(self, now: int, vote, run: int) -> bool:
        """Always."""
        return True


class AnyBack(Voter):
    """Takes a giving back of an earlier round for one of the vote that is out."""

    def covers(self, vote, back: ReleaseLease) -> bool:
        """Whatever the round."""
        return vote.instance_id == back.instance_id


class AnyRenewal(LeaseAcquisition):
    """Counts answers to a renewal that come when the lease has ended."""

    def is_late_renewal(self, now: int, round_: int) -> bool:
        """Never."""
        return False


class OpenRounds(LeaseAcquisition):
    """Counts answers to rounds that were given back."""

    def discard_votes(self) -> None:
        """Forget the votes, but not the rounds."""
        self.vote_expirations.clear()


class KeepsVotes(LeaseAcquisition):
    """Goes on counting on votes that it gave back."""

    def discard_votes(self) -> None:
        """Forget nothing."""


class HalfIsEnough(Electorate):
    """Takes half of the voters for a majority."""

    @property
    def majority(self) -> int:
        """One too few."""
        return len(self.voters) // 2


class Unsettled(Electorate):
    """Goes by a voter set while an earlier, far one may be in force still."""

    def is_ready(self, now: int) -> bool:
        """Always."""
        return True


class AnyVersion(Electorate):
    """Answers whatever voter set it is asked under, and says that it does not."""

    def accepts(self, now: int, version: int) -> bool:
        """Always."""
        return True


@dataclass(frozen=True)
class Mutant:
    """The lease without one guard, and the world that shows it."""

    guard: str
    made: Made
    world: Bounds
    deep: bool = False  # found only in a world too large for every run of the tests


MUTANTS = (
    Mutant("mute after a restart", Made(voter=NotMute), WORLDS["voter restart"]),
    Mutant("drift margin", Made(claim=NoMargin), WORLDS["drift"]),
    Mutant("timer before asking", Made(claim=LateTimer), WORLDS["drift"]),
    Mutant("token growth", Made(voter=AnyToken), WORLDS["give-back"]),
    Mutant(
        "tokens over a restart of all voters",
        Made(base=0),
        Bounds("tokens after all restart", ONE, asks=1, restarts=3, floors=(0, 0)),
    ),
    Mutant("one vote at a time", Made(voter=TwoVotes), WORLDS["drift"]),
    Mutant(
        "a giving back frees its own round only",
        Made(voter=AnyBack),
        Bounds("give-back and again", ONE, asks={"p": 2, "q": 1}, backs=1, floors=(0, 2)),
    ),
    Mutant("a round given back is closed", Made(claim=OpenRounds), WORLDS["give-back"]),
    Mutant("a renewal counts only while the lease is held", Made(claim=AnyRenewal), RIVAL, deep=True),
    Mutant("votes given back don't count", Made(claim=KeepsVotes), WORLDS["give-back"]),
    Mutant("a restarted claimant is another", Made(same_run=True), WORLDS["claimant restart"]),
    Mutant("majority", Made(electorate=HalfIsEnough), WORLDS["drift"]),
    Mutant(
        "version of the voter set settled",
        Made(electorate=Unsettled),
        Bounds("far apart, nobody rereads", FAR, asks=1, **APART),
    ),
    Mutant(
        "older versions are refused",
        Made(electorate=AnyVersion),
        Bounds(
            "an old version at a voter of the new",
            FAR,
            asks=1,
            **APART
            | {
                "versions": APART["versions"] | {"b": 2},
                "heard": {"q": ("b", "c", "d"), "c": ("b", "d"), "d": ("b", "c")},
            },
        ),
    ),
)
# A clock that stands still over a suspended machine (CLOCK_MONOTONIC) breaks the assumption itself.
SUSPENDED = Bounds("a claimant's clock stands still", ONE, asks=1, clocks={"p": "stopped"})
