"""The lease's guards taken out one at a time, and the small worlds that the model checker walks. No I/O.

A check that can't fail says nothing: for every guard that docs/leases.md names there is a mutation here
without it, and a world in which the checker has to find two holders or a shrinking token.
"""

from dataclasses import dataclass
from typing import Any

from cypressledge.fleet.clock import NEVER
from cypressledge.fleet.leases.acquisition import LeaseAcquisition
from cypressledge.fleet.leases.electorate import Electorate
from cypressledge.fleet.leases.voter import Vote, Voter, VoterLeaseState
from cypressledge.fleet.messages import ReleaseLease, VoteGranted, VoteRequest
from cypressledge.lab.lease_model.bounds import Bounds, Implementation, VoterSets

ONE_SET: VoterSets = {1: ("a", "b", "c")}
VOTER_ADDED: VoterSets = {1: ("a", "b", "c"), 2: ("a", "b", "c", "d")}
FAR_APART: VoterSets = {1: ("a", "b", "c"), 2: ("a", "b", "c", "d"), 3: ("b", "c", "d")}
# p, a and b go by the first version; c, d and q have taken the third, and know that of each other.
FAR_APART_BOUNDS: dict[str, Any] = {
    "versions": {"q": 3, "c": 3, "d": 3},
    "known_versions": dict.fromkeys("qcd", (1, 2, 3)),
    "observed_voters": {"q": ("c", "d"), "c": ("d",), "d": ("c",)},
}

WORLDS = {
    b.name: b
    for b in (
        Bounds("drift", ONE_SET, rounds=1, clocks={"p": "slow", "q": "fast", "a": "fast", "b": "fast"}),
        Bounds("voter restart", ONE_SET, rounds=1, voter_restarts=1, known_tokens=(0, 150)),
        Bounds("release", ONE_SET, rounds=1, releases=1),
        Bounds(
            "requester restart",
            ONE_SET,
            rounds={"p": 2, "q": 1},
            requester_restarts=1,
            known_tokens=(0, 2),
            clocks={"q": "fast"},
        ),
        Bounds("renewal", ONE_SET, rounds=2, requesters=("p",), voter_restarts=1),
        Bounds("voter added", VOTER_ADDED, rounds=1, versions={"q": 2, "d": 2}, reloads={"a": 1}),
        Bounds(
            "voters far apart",
            FAR_APART,
            rounds=1,
            reloads={"b": 1},
            version_observations=3,
            **FAR_APART_BOUNDS,
        ),
    )
}
# p holds, q takes over when p's lease has expired, and releases; p's renewal is still on its way.
LATE_RENEWAL = Bounds(
    "a late renewal",
    ONE_SET,
    rounds={"p": 2, "q": 1},
    term=12,
    releases=1,
    releasers=("q",),
    clocks={"a": "fast", "b": "fast"},
)
# Beyond what every run of the tests walks (`lab model --deep`): longer terms, more rounds and restarts.
DEEP_WORLDS = {
    b.name: b
    for b in (
        Bounds("longer terms", ONE_SET, term=12, rounds=1, releases=1, clocks={"p": "slow", "a": "fast"}),
        LATE_RENEWAL,
        Bounds("two rounds each", ONE_SET, rounds=2),
        Bounds(
            "voter added, all reload",
            VOTER_ADDED,
            rounds=1,
            versions={"q": 2, "d": 2},
            reloads={"a": 1, "p": 1},
        ),
        Bounds(
            "release and another round", ONE_SET, rounds={"p": 2, "q": 1}, releases=1, known_tokens=(0, 2)
        ),
        Bounds(
            "two restarts",
            ONE_SET,
            rounds=1,
            voter_restarts=2,
            known_tokens=(0, 150),
            clocks={"p": "slow", "a": "fast"},
        ),
        Bounds("all voters restart", ONE_SET, rounds=1, voter_restarts=3),
        Bounds("three requesters", ONE_SET, rounds=1, requesters=("p", "q", "r")),
        Bounds("restart and release", ONE_SET, rounds=1, voter_restarts=1, releases=1, known_tokens=(0, 150)),
    )
}


class NoQuarantine(Voter):
    """Votes as soon as it has started."""

    def voting_quarantine(self, now: int) -> int:
        """Return 0: there is no quarantine."""
        return 0


class NoDriftMargin(LeaseAcquisition):
    """Assumes that all clocks run at one rate."""

    def vote_duration(self) -> int:
        """Return the whole term."""
        return self.term


class LateExpiration(LeaseAcquisition):
    """Counts a vote's duration from the answer, not from the request."""

    def record_vote(self, now: int, voter: str, grant: VoteGranted) -> bool:
        """Count the vote as if the round had begun just now."""
        if not self.answers_open_round(grant):
            return False
        self.vote_expirations[voter] = max(
            now + self.vote_duration(), self.vote_expirations.get(voter, NEVER)
        )
        return True


class AnyTokenAccepted(Voter):
    """Grants under any token."""

    def is_token_acceptable(self, state: VoterLeaseState, request: VoteRequest) -> bool:
        """Return True in all cases."""
        return True


class TwoVotes(Voter):
    """Votes for a second process while its vote is in force."""

    def is_free(self, now: int, vote: Vote | None, instance_id: int) -> bool:
        """Return True in all cases."""
        return True


class AnyRelease(Voter):
    """Takes the release of an earlier round for one of the vote that is in force."""

    def covers(self, vote: Vote, release: ReleaseLease) -> bool:
        """Compare the instance alone, whatever the round."""
        return vote.instance_id == release.instance_id


class LateRenewalCounted(LeaseAcquisition):
    """Counts answers to a renewal that come after the lease has expired."""

    def is_late_renewal(self, now: int, round_: int) -> bool:
        """Return False: no renewal is late."""
        return False


class RoundsKeptOpen(LeaseAcquisition):
    """Counts answers to rounds that were released."""

    def discard_votes(self) -> None:
        """Forget the votes, but not the rounds."""
        self.vote_expirations.clear()


class VotesKept(LeaseAcquisition):
    """Goes on counting votes that it released."""

    def discard_votes(self) -> None:
        """Forget nothing."""


class HalfMajority(Electorate):
    """Takes half of the voters for a majority."""

    @property
    def majority(self) -> int:
        """Return one too few."""
        return len(self.voters) // 2


class UnsettledVersion(Electorate):
    """Uses a voter set while an older one, several versions back, may still be in force."""

    def is_ready(self, now: int) -> bool:
        """Return True in all cases."""
        return True


class AnyVersionAccepted(Electorate):
    """Answers requests under any voter set, and reports that it does not."""

    def accepts(self, now: int, version: int) -> bool:
        """Return True in all cases."""
        return True


@dataclass(frozen=True)
class Mutation:
    """The lease without one guard, and the world that shows it."""

    guard: str
    implementation: Implementation
    world: Bounds
    is_deep: bool = False  # found only in a world too large for every run of the tests


MUTATIONS = (
    Mutation(
        "voting quarantine after a restart", Implementation(voter=NoQuarantine), WORLDS["voter restart"]
    ),
    Mutation("drift margin", Implementation(acquisition=NoDriftMargin), WORLDS["drift"]),
    Mutation(
        "expiration counted from the request", Implementation(acquisition=LateExpiration), WORLDS["drift"]
    ),
    Mutation("token growth", Implementation(voter=AnyTokenAccepted), WORLDS["release"]),
    Mutation(
        "tokens over a restart of all voters",
        Implementation(restart_token_step=0),
        Bounds("tokens after all restart", ONE_SET, rounds=1, voter_restarts=3, known_tokens=(0, 0)),
    ),
    Mutation("one vote at a time", Implementation(voter=TwoVotes), WORLDS["drift"]),
    Mutation(
        "a release frees its own round only",
        Implementation(voter=AnyRelease),
        Bounds(
            "release and another round", ONE_SET, rounds={"p": 2, "q": 1}, releases=1, known_tokens=(0, 2)
        ),
    ),
    Mutation("a released round is closed", Implementation(acquisition=RoundsKeptOpen), WORLDS["release"]),
    Mutation(
        "a renewal counts only while the lease is held",
        Implementation(acquisition=LateRenewalCounted),
        LATE_RENEWAL,
        is_deep=True,
    ),
    Mutation("released votes don't count", Implementation(acquisition=VotesKept), WORLDS["release"]),
    Mutation(
        "a restarted requester is another",
        Implementation(keeps_instance_id=True),
        WORLDS["requester restart"],
    ),
    Mutation("majority", Implementation(electorate=HalfMajority), WORLDS["drift"]),
    Mutation(
        "version of the voter set settled",
        Implementation(electorate=UnsettledVersion),
        Bounds("far apart, nobody reloads", FAR_APART, rounds=1, **FAR_APART_BOUNDS),
    ),
    Mutation(
        "older versions are rejected",
        Implementation(electorate=AnyVersionAccepted),
        Bounds(
            "an old version at a voter of the new",
            FAR_APART,
            rounds=1,
            **FAR_APART_BOUNDS
            | {
                "versions": FAR_APART_BOUNDS["versions"] | {"b": 2},
                "observed_voters": {"q": ("b", "c", "d"), "c": ("b", "d"), "d": ("b", "c")},
            },
        ),
    ),
)
# A clock that stands still over a suspended machine (CLOCK_MONOTONIC) breaks the assumption itself.
SUSPENDED_CLOCK = Bounds("a requester's clock stands still", ONE_SET, rounds=1, clocks={"p": "stopped"})
