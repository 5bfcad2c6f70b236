"""A process's side of one lease: its rounds of vote requests, and until when a majority votes for it. No I/O.

A process holds a lease while a majority of voters must still be voting for it, reckoned on its own clock from
before it requested the votes. All times are µs on that clock, all rates within `drift_ppm` of true. The
argument, with every assumption, is in docs/leases.md; each guard it names is a method of its own.
"""

from cypressledge.fleet.clock import NEVER
from cypressledge.fleet.leases.electorate import Electorate
from cypressledge.fleet.messages import ReleaseLease, VoteGranted, VoteRejected, VoteRequest

PARTS_PER_MILLION = 1_000_000
MAX_OPEN_ROUNDS = 8  # rounds of one acquisition whose answers still count


def hold_duration(term: int, drift_ppm: int) -> int:
    """µs that a holder may count on a vote of `term` µs, from before it requested it: the voter's clock may
    run fast by `drift_ppm` and its own slow by as much."""
    return term * (PARTS_PER_MILLION - drift_ppm) // (PARTS_PER_MILLION + drift_ppm)


class LeaseAcquisition:
    """One process's acquisition of one lease. It holds the lease while `is_held(now)` says so, and only
    then."""

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
        self.highest_token = 0  # no token up to this one is requested
        self.renewal_rounds: set[int] = set()  # that count only while the lease is held
        self.open_rounds: dict[int, int] = {}  # whose answers count: when each was begun
        self.vote_expirations: dict[str, int] = {}  # by voter: until when its vote counts, on this clock
        self.rejections: dict[str, VoteRejected] = {}  # of the current round, by voter

    def vote_duration(self) -> int:
        """µs from the beginning of a round that a vote in it counts for."""
        return hold_duration(self.term, self.drift_ppm)

    def round_start(self, now: int) -> int:
        """The moment from which a new round's votes count: before any is requested."""
        return now

    def expires_at(self) -> int:
        """The moment up to which a majority of voters votes for this process."""
        expirations = self.vote_expirations
        ends = sorted([expirations.get(v, NEVER) for v in self.electorate.voters], reverse=True)
        return ends[self.electorate.majority - 1]

    def is_held(self, now: int) -> bool:
        """Whether the lease is held now. The answer ages at once: see the token, and `remaining`."""
        return now < self.expires_at()

    def remaining(self, now: int) -> int:
        """µs that the lease is held for without a further vote."""
        return max(0, self.expires_at() - now)

    def start_round(self, now: int) -> VoteRequest | None:
        """A new round, to be sent to every voter: a renewal under the same token while the lease is held,
        else an acquisition under a higher one. None while the voter set must not be used."""
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
        """Whether a grant answers a round of this acquisition that is still open."""
        return (
            grant.instance_id == self.instance_id
            and grant.token == self.token
            and grant.round in self.open_rounds
        )

    def record_vote(self, now: int, voter: str, grant: VoteGranted) -> bool:
        """Count a vote received at `now`; whether it counts."""
        if not self.answers_open_round(grant) or self.is_late_renewal(now, grant.round):
            return False
        expires_at = self.open_rounds[grant.round] + self.vote_duration()
        self.vote_expirations[voter] = max(expires_at, self.vote_expirations.get(voter, NEVER))
        return True

    def is_late_renewal(self, now: int, round_: int) -> bool:
        """Whether a renewal's answer comes after the lease has expired: another may have held it since, under
        a higher token."""
        return round_ in self.renewal_rounds and not self.is_held(now)

    def record_rejection(self, voter: str, rejection: VoteRejected) -> None:
        """Remember a rejection in the current round."""
        if rejection.instance_id == self.instance_id and rejection.round == self.round:
            self.rejections[voter] = rejection
        self.observe_token(rejection.token)

    def observe_token(self, token: int) -> None:
        """Record a higher token that somebody knows of."""
        self.highest_token = max(self.highest_token, token)

    def cannot_win(self, alive: frozenset[str]) -> bool:
        """Whether those alive that have not rejected the current round are no majority."""
        possible = [
            v
            for v in self.electorate.voters
            if v not in self.rejections and (v in alive or v in self.vote_expirations)
        ]
        return len(possible) < self.electorate.majority

    def discard_votes(self) -> None:
        """Hold nothing: neither votes nor answers still in transit count any more."""
        self.vote_expirations.clear()
        self.open_rounds.clear()
        self.renewal_rounds.clear()

    def release(self) -> ReleaseLease:
        """Release the lease, or an attempt at it. Nothing may be done under it from here on."""
        self.discard_votes()
        return ReleaseLease(self.lease, self.instance_id, self.round)
