"""Mutations that each remove one guard of the lease, and the small worlds for the model checker. No I/O.

A check that can't fail proves nothing: for every guard that docs/leases.md names, a mutation here removes it,
and in the mutation's world the checker must find two holders or a decreasing token.
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
# p, a and b use the first version; c, d and q have adopted the third, and know that c and d have.
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
# p's lease expires, then q acquires and releases the lease; p's renewal is still in transit.
LATE_RENEWAL = Bounds(
    "a late renewal",
    ONE_SET,
    rounds={"p": 2, "q": 1},
    term=12,
    releases=1,
    releasers=("q",),
    clocks={"a": "fast", "b": "fast"},
)
# Explored only with `lab model --deep`, not in every test run: longer terms, more rounds and restarts.
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
    """A voter that votes immediately after its start."""

    def voting_quarantine(self, now: int) -> int:
        """Return 0, so that voting starts without a quarantine."""
        return 0


class NoDriftMargin(LeaseAcquisition):
    """An acquisition that assumes that all clocks run at the same rate."""

    def vote_duration(self) -> int:
        """Return the full term, without a margin for clock drift."""
        return self.term


class LateExpiration(LeaseAcquisition):
    """An acquisition that counts a vote's duration from the answer instead of the request."""

    def record_vote(self, now: int, voter: str, grant: VoteGranted) -> bool:
        """Record the vote as if the round had started at `now`."""
        if not self.answers_open_round(grant):
            return False
        self.vote_expirations[voter] = max(
            now + self.vote_duration(), self.vote_expirations.get(voter, NEVER)
        )
        return True


class AnyTokenAccepted(Voter):
    """A voter that grants votes under any token."""

    def is_token_acceptable(self, state: VoterLeaseState, request: VoteRequest) -> bool:
        """Return True, however low the token is."""
        return True


class TwoVotes(Voter):
    """A voter that votes for a second process while its earlier vote is in force."""

    def is_free(self, now: int, vote: Vote | None, instance_id: int) -> bool:
        """Return True, even while another process has the vote."""
        return True


class AnyRelease(Voter):
    """A voter that applies the release of an earlier round to the vote that is in force."""

    def covers(self, vote: Vote, release: ReleaseLease) -> bool:
        """Return whether the instances match; the round is ignored."""
        return vote.instance_id == release.instance_id


class LateRenewalCounted(LeaseAcquisition):
    """An acquisition that counts answers to a renewal that arrive after the lease has expired."""

    def is_late_renewal(self, now: int, round_: int) -> bool:
        """Return False, so that no renewal counts as late."""
        return False


class RoundsKeptOpen(LeaseAcquisition):
    """An acquisition that counts answers to rounds that were released."""

    def discard_votes(self) -> None:
        """Discard the votes, but keep the rounds open."""
        self.vote_expirations.clear()


class VotesKept(LeaseAcquisition):
    """An acquisition that still counts votes after it has released them."""

    def discard_votes(self) -> None:
        """Keep all votes and rounds."""


class HalfMajority(Electorate):
    """An electorate that accepts half of the voters, rounded down, as a majority."""

    @property
    def majority(self) -> int:
        """Half of the voters, rounded down: one less than a majority."""
        return len(self.voters) // 2


class UnsettledVersion(Electorate):
    """An electorate that uses its voter set while one several versions older may still be in force."""

    def is_ready(self, now: int) -> bool:
        """Return True, without waiting until older versions are out of use."""
        return True


class AnyVersionAccepted(Electorate):
    """An electorate that accepts any voter set, although it reports that it rejects old ones."""

    def accepts(self, now: int, version: int) -> bool:
        """Return True, however old the version is."""
        return True


@dataclass(frozen=True)
class Mutation:
    """The lease without one guard, and the world in which its absence causes a fault."""

    guard: str
    implementation: Implementation
    world: Bounds
    is_deep: bool = False  # its fault appears only in a world that is too large for every test run


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
# A clock that stops while the machine is suspended (CLOCK_MONOTONIC) violates the bound on clock drift.
SUSPENDED_CLOCK = Bounds("a requester's clock stands still", ONE_SET, rounds=1, clocks={"p": "stopped"})
