"""The requester's side of one lease: rounds of vote requests, and the expiration of the votes. No I/O.

A process holds a lease while the votes of a majority must still be in force, computed on its own clock from a
time before the votes were requested. All times are µs on that clock; the rate of every clock is within
`drift_ppm` of real time. The safety argument, with all assumptions, is in docs/leases.md. Each guard that it
names is a separate method here.
"""

from cypressledge.fleet.clock import NEVER
from cypressledge.fleet.leases.electorate import Electorate
from cypressledge.fleet.messages import ReleaseLease, VoteGranted, VoteRejected, VoteRequest

PARTS_PER_MILLION = 1_000_000
MAX_OPEN_ROUNDS = 8  # rounds; answers to older ones are ignored


def hold_duration(term: int, drift_ppm: int) -> int:
    """Return the µs that a holder may count on a vote of `term` µs, from before the vote was requested. The
    voter's clock may run fast by `drift_ppm`, and the holder's slow by as much."""
    return term * (PARTS_PER_MILLION - drift_ppm) // (PARTS_PER_MILLION + drift_ppm)


class LeaseAcquisition:
    """One process's acquisition of one lease. The process holds the lease while `is_held(now)` is true, and
    only then."""

    def __init__(
        self, lease: str, instance_id: int, term: int, drift_ppm: int, electorate: Electorate
    ) -> None:
        self.lease = lease
        self.instance_id = instance_id
        self.term = term
        self.drift_ppm = drift_ppm
        self.electorate = electorate
        self.round = 0
        self.token = 0
        self.highest_token = 0  # the highest known token; new acquisitions request a higher one
        self.renewal_rounds: set[int] = set()  # rounds whose votes count only while the lease is held
        self.open_rounds: dict[int, int] = {}  # by round whose answers are accepted: its start, µs
        self.vote_expirations: dict[str, int] = {}  # by voter: when its vote expires, µs on this clock
        self.rejections: dict[str, VoteRejected] = {}  # by voter: rejections in the current round

    def vote_duration(self) -> int:
        """Return the µs that a vote counts, from the start of its round."""
        return hold_duration(self.term, self.drift_ppm)

    def round_start(self, now: int) -> int:
        """Return the time from which the votes of a new round count: before any of them is requested."""
        return now

    def expires_at(self) -> int:
        """Return the time until which the votes of a majority are in force, µs."""
        expirations = self.vote_expirations
        ends = sorted([expirations.get(v, NEVER) for v in self.electorate.voters], reverse=True)
        return ends[self.electorate.majority - 1]

    def is_held(self, now: int) -> bool:
        """Return whether the lease is held now. The result may be outdated as soon as it is used: check
        `remaining` before a step, and pass the token to the resource."""
        return now < self.expires_at()

    def remaining(self, now: int) -> int:
        """Return the µs that the lease stays held without further votes."""
        return max(0, self.expires_at() - now)

    def start_round(self, now: int) -> VoteRequest | None:
        """Start a round and return its request, to be sent to every voter: a renewal under the same token
        while the lease is held, else an acquisition under a higher one. Return None while the voter set must
        not be used."""
        if not self.electorate.is_ready(now):
            return None
        renewal = self.is_held(now)
        if not renewal:
            self.discard_votes()
            self.token = self.highest_token + 1
        self.round += 1
        if renewal:
            self.renewal_rounds.add(self.round)
        self.rejections.clear()
        self.open_rounds[self.round] = self.round_start(now)
        while len(self.open_rounds) > MAX_OPEN_ROUNDS:
            oldest = min(self.open_rounds)
            self.renewal_rounds.discard(oldest)
            del self.open_rounds[oldest]
        self.highest_token = max(self.highest_token, self.token)
        return VoteRequest(
            self.lease,
            self.instance_id,
            self.round,
            self.token,
            self.term,
            self.electorate.version,
            renewal,
        )

    def answers_open_round(self, grant: VoteGranted) -> bool:
        """Return whether a grant answers a round of this acquisition that is still open."""
        return (
            grant.instance_id == self.instance_id
            and grant.token == self.token
            and grant.round in self.open_rounds
        )

    def record_vote(self, now: int, voter: str, grant: VoteGranted) -> bool:
        """Record a vote received at `now`; return whether it counts."""
        if not self.answers_open_round(grant) or self.is_late_renewal(now, grant.round):
            return False
        expires_at = self.open_rounds[grant.round] + self.vote_duration()
        self.vote_expirations[voter] = max(expires_at, self.vote_expirations.get(voter, NEVER))
        return True

    def is_late_renewal(self, now: int, round_: int) -> bool:
        """Return whether a renewal is answered after the lease has expired: another process may have held it
        since, under a higher token."""
        return round_ in self.renewal_rounds and not self.is_held(now)

    def record_rejection(self, voter: str, rejection: VoteRejected) -> None:
        """Record a rejection if it is of the current round, and the token that it reports in any case."""
        if rejection.instance_id == self.instance_id and rejection.round == self.round:
            self.rejections[voter] = rejection
        self.observe_token(rejection.token)

    def observe_token(self, token: int) -> None:
        """Raise the highest known token to `token` if that is higher."""
        self.highest_token = max(self.highest_token, token)

    def cannot_win(self, alive: frozenset[str]) -> bool:
        """Return whether the current round can't reach a majority: too few voters have not rejected it and
        are alive or have voted."""
        possible = [
            v
            for v in self.electorate.voters
            if v not in self.rejections and (v in alive or v in self.vote_expirations)
        ]
        return len(possible) < self.electorate.majority

    def discard_votes(self) -> None:
        """Discard all votes, and ignore answers that are still in transit."""
        self.vote_expirations.clear()
        self.open_rounds.clear()
        self.renewal_rounds.clear()

    def release(self) -> ReleaseLease:
        """Discard all votes; return the message that releases the lease, or ends an attempt to acquire it. No
        work may be done under the lease from here on."""
        self.discard_votes()
        return ReleaseLease(self.lease, self.instance_id, self.round)
