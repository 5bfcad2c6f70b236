"""The voter's side of leases: for each lease one vote, for one process, for a bounded time.

No I/O: callers pass the time, in µs on the process's own clock. Nothing is stored on disk: after a start, a
voter does not vote until all votes that it may have granted before have expired. The safety argument, with
all assumptions, is in docs/leases.md. Each guard that it names is a separate method here. Method: Gray and
Cheriton, "Leases" (1989), for the timers; PaxosLease (Trencseni et al., 2012) for majorities without a disk.
"""

from dataclasses import dataclass

from cypressledge.fleet.leases.electorate import Electorate
from cypressledge.fleet.messages import (
    LeaseStatus,
    LeaseStatusRequest,
    RejectionReason,
    ReleaseLease,
    VoteGranted,
    VoteRejected,
    VoteRequest,
)

MAX_LEASES = 1_024  # leases; one voter keeps the state of this many


@dataclass(slots=True)
class Vote:
    """A vote for a process, granted in one of its rounds. `expires_at`: µs on this voter's clock."""

    holder: str
    instance_id: int
    round: int
    token: int
    expires_at: int


@dataclass(slots=True)
class VoterLeaseState:
    """The state of one lease at one voter."""

    highest_token: int  # the highest requested token that this voter knows
    vote: Vote | None = None
    released: tuple[int, int] = (0, 0)  # instance and round of the last release

    def vote_in_force(self, now: int) -> Vote | None:
        """Return the vote if it has not expired, else None."""
        vote = self.vote
        return vote if vote is not None and now < vote.expires_at else None


class Voter:
    """One voter's votes in all leases. Every token that it grants is above `base_token`, the wall clock's µs
    at its start, so that tokens also grow over a restart of all voters."""

    def __init__(self, electorate: Electorate, now: int, base_token: int) -> None:
        self.electorate = electorate
        self.started_at = now
        self.base_token = base_token
        self.leases: dict[str, VoterLeaseState] = {}

    def voting_quarantine(self, now: int) -> int:
        """Return the µs until this voter votes: all votes that its former instance may have granted have to
        expire first."""
        return max(0, self.started_at + self.electorate.max_term - now)

    def is_free(self, now: int, vote: Vote | None, instance_id: int) -> bool:
        """Return whether the vote may be granted to a process: no vote for another is in force."""
        return vote is None or vote.instance_id == instance_id or now >= vote.expires_at

    def is_token_acceptable(self, state: VoterLeaseState, request: VoteRequest) -> bool:
        """Return whether the requested token is above all known ones, or is still the requester's own. A
        holder renews under its token even if others have requested higher ones: while it holds the lease, no
        other can have held it under a higher token."""
        vote = state.vote
        own_token = vote.token if vote is not None and vote.instance_id == request.instance_id else None
        return (
            request.token > state.highest_token
            or request.renewal
            or request.token == state.highest_token == own_token
        )

    def status(self, now: int, request: LeaseStatusRequest) -> LeaseStatus:
        """Return the status of a lease at this voter. Has no effect on votes."""
        state = self.leases.get(request.lease) or VoterLeaseState(self.base_token)
        vote = state.vote_in_force(now)
        return LeaseStatus(
            request.lease,
            vote.holder if vote else "",
            vote.expires_at - now if vote else 0,
            state.highest_token,
            self.voting_quarantine(now),
        )

    def vote(self, now: int, requester: str, request: VoteRequest) -> VoteGranted | VoteRejected | None:
        """Answer a request with a vote or a rejection; None if its round has been released or superseded."""
        state = self.leases.get(request.lease)
        if state is None:
            if len(self.leases) >= MAX_LEASES:
                return self._reject(now, request, VoterLeaseState(self.base_token), RejectionReason.CAPACITY)
            state = self.leases[request.lease] = VoterLeaseState(self.base_token)
        if self._is_stale(state, request):
            return None
        reason = self._rejection_reason(now, state, request)
        if reason is not None:
            return self._reject(now, request, state, reason)
        self._grant(now, requester, state, request)
        return VoteGranted(request.lease, request.instance_id, request.round, request.token)

    @staticmethod
    def _grant(now: int, requester: str, state: VoterLeaseState, request: VoteRequest) -> None:
        vote = state.vote
        if vote is not None and (vote.instance_id, vote.round) == (request.instance_id, request.round):
            return  # a duplicate of the request, which must not extend the vote
        expires_at = now + request.term
        if vote is not None and vote.instance_id == request.instance_id:
            expires_at = max(expires_at, vote.expires_at)
        state.vote = Vote(requester, request.instance_id, request.round, request.token, expires_at)
        state.highest_token = max(state.highest_token, request.token)

    @staticmethod
    def _is_stale(state: VoterLeaseState, request: VoteRequest) -> bool:
        instance_id, round_ = state.released
        if instance_id == request.instance_id and request.round <= round_:
            return True
        vote = state.vote
        return vote is not None and vote.instance_id == request.instance_id and request.round < vote.round

    def _rejection_reason(
        self, now: int, state: VoterLeaseState, request: VoteRequest
    ) -> RejectionReason | None:
        if self.voting_quarantine(now):
            return RejectionReason.VOTING_QUARANTINE
        electorate = self.electorate
        if not electorate.accepts(now, request.voters_version) or not electorate.is_ready(now):
            return RejectionReason.VOTERS_VERSION
        if request.term > electorate.max_term:
            return RejectionReason.TERM
        if not self.is_free(now, state.vote, request.instance_id):
            return RejectionReason.HELD
        return None if self.is_token_acceptable(state, request) else RejectionReason.TOKEN

    def _reject(
        self, now: int, request: VoteRequest, state: VoterLeaseState, reason: RejectionReason
    ) -> VoteRejected:
        vote = state.vote_in_force(now)
        if reason is RejectionReason.VOTING_QUARANTINE:
            remaining = self.voting_quarantine(now)
        else:
            remaining = vote.expires_at - now if vote else 0
        return VoteRejected(
            request.lease,
            request.instance_id,
            request.round,
            reason,
            vote.holder if vote else "",
            remaining,
            state.highest_token,
        )

    def covers(self, vote: Vote, release: ReleaseLease) -> bool:
        """Return whether a release applies to this vote: one of an earlier round does not."""
        return vote.instance_id == release.instance_id and vote.round <= release.round

    def release(self, release: ReleaseLease) -> None:
        """Free a vote, and ignore requests of its round and earlier ones from here on."""
        state = self.leases.get(release.lease)
        if state is None:
            return
        if state.vote is not None and self.covers(state.vote, release):
            state.vote = None
        if state.released[0] != release.instance_id or state.released[1] < release.round:
            state.released = (release.instance_id, release.round)

    def observe_token(self, lease: str, token: int) -> None:
        """Raise the highest known token of a lease to `token` if that is higher."""
        state = self.leases.get(lease)
        if state is None and len(self.leases) < MAX_LEASES:
            state = self.leases[lease] = VoterLeaseState(self.base_token)
        if state is not None:
            state.highest_token = max(state.highest_token, token)
