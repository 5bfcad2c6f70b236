"""One broker's participation in one lease: when to query, request votes, renew, wait and release. No I/O.

Safety depends only on `voter.py` and `acquisition.py`: a mistake here can only delay a lease. The first
candidate (`candidate_order.py`) requests votes at once, the others later, so that votes are seldom split.
Callers pass the time in µs, on the clock that leases use.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from cypressledge.fleet.leases.acquisition import LeaseAcquisition
from cypressledge.fleet.leases.candidate_order import CANDIDATES, candidate_order
from cypressledge.fleet.leases.electorate import Electorate
from cypressledge.fleet.leases.lease import HeldLease, LeaseEvent, LeaseSlot
from cypressledge.fleet.leases.voter import Vote, Voter
from cypressledge.fleet.messages import (
    AnyItem,
    LeaseReleased,
    LeaseStatus,
    LeaseStatusRequest,
    RejectionReason,
    VoteGranted,
    VoteRejected,
)

MS = 1_000  # µs per millisecond
FAST_RETRIES = 5  # attempts; made in quick succession after a notice that a lease is free
MAX_SPLIT_VOTES = 4  # split votes in a row; each doubles the random delay of the next attempt, up to this
MAX_ANSWER_TIMEOUT = 500 * MS  # µs; longest wait for answers to a status request or a vote request
MAX_STAGGER = 100 * MS  # µs; longest time that one candidate waits after the one before it
# Reasons that stay until the voter's own state changes, whatever this process requests.
VOTER_UNAVAILABLE_REASONS = (
    RejectionReason.VOTING_QUARANTINE,
    RejectionReason.VOTERS_VERSION,
    RejectionReason.CAPACITY,
)


class ParticipationPhase(Enum):
    """The phase of a broker's participation in one lease. The values are shown to operators."""

    IDLE = "idle"
    QUERYING_STATUS = "looking"
    REQUESTING_VOTES = "asking"
    HELD = "held"


@dataclass(slots=True)
class ParticipationContext:
    """State and functions that all of a broker's participations share.

    `send` gets (peer, item); `on_event` gets (event, lease, token, reason).
    """

    name: str
    instance_id: int
    electorate: Electorate
    voter: Voter
    random: random.Random
    timer_phase: int  # µs; offset of this broker's timers, so that brokers' timers do not coincide
    send: Callable[[str, AnyItem], None]
    on_event: Callable[[LeaseEvent, str, int, str], None]
    alive: frozenset[str]
    stopping: bool = False
    requested_groups: set[str] = field(default_factory=set)  # groups on demand that this broker requests
    participations: "dict[str, LeaseParticipation]" = field(default_factory=dict)
    candidate_orders: dict[str, list[str]] = field(default_factory=dict)  # by lease; a cache

    def jitter(self, limit: int) -> int:
        """Return a random duration below `limit`, µs."""
        return self.random.randrange(limit)

    def candidates(self, slot: LeaseSlot) -> list[str]:
        """Return the candidates for a lease among the brokers alive, first to last."""
        found = self.candidate_orders.get(slot.lease)
        if found is None:
            found = self.candidate_orders[slot.lease] = candidate_order(
                slot.lease, self.alive, slot.candidates
            )
        return found

    def candidate_rank(self, slot: LeaseSlot) -> int | None:
        """Return this broker's place among a lease's candidates, from 0; None if it is not one."""
        found = self.candidates(slot)
        return found.index(self.name) if self.name in found else None

    def align_timer(self, now: int, interval: int) -> int:
        """Return when this broker's timer of `interval` µs fires next, at most `interval` from now. What is
        sent for several leases at the same firing goes to each voter in one datagram."""
        return now + interval - (now + self.timer_phase) % interval

    def is_group_taken(self, participation: "LeaseParticipation") -> bool:
        """Return whether this broker holds another slot of a counted lease's group, or requests votes for
        one."""
        slot = participation.slot
        active = (ParticipationPhase.HELD, ParticipationPhase.REQUESTING_VOTES)
        return slot.candidates > CANDIDATES and any(
            p.slot.group == slot.group and p is not participation and p.phase in active
            for p in self.participations.values()
        )


@dataclass(slots=True, eq=False)
class LeaseParticipation:
    """One broker's participation in one lease. `due_at`: when `advance` has something to do, µs."""

    slot: LeaseSlot
    acquisition: LeaseAcquisition
    context: ParticipationContext
    due_at: int = 0
    phase: ParticipationPhase = ParticipationPhase.IDLE
    attempt_started_at: int = 0
    fast_retries: int = 0
    split_votes: int = 0  # attempts in a row that failed with a split vote
    statuses: dict[str, LeaseStatus] = field(default_factory=dict)  # by voter: answers to the current query
    known_holder: str = ""  # the last known one; empty if none is known

    # Queries and commands

    def held_lease(self, now: int) -> HeldLease | None:
        """Return the lease if it is held now, else None."""
        acquisition = self.acquisition
        if self.phase is not ParticipationPhase.HELD or not acquisition.is_held(now):
            return None
        return HeldLease(
            self.slot.lease,
            self.slot.group,
            acquisition.token,
            self.context.instance_id,
            acquisition.expires_at(),
        )

    def release(self, now: int, reason: str, cooldown: int = 0) -> bool:
        """Release the lease and notify the next candidates, or end an attempt to acquire it; return whether
        it was held. The work under it must have ended. `cooldown`: µs in which this broker does not request
        it again, at least a term."""
        if self.phase is ParticipationPhase.IDLE:
            return False
        was_held = self.phase is ParticipationPhase.HELD
        token = self.acquisition.token
        self._send_release()
        self.fast_retries = 0
        self._become_idle(now, max(cooldown, self.slot.term))
        if not was_held:
            return False
        if not self.slot.on_demand:
            self._notify_next_candidates(token)
        self.context.on_event(LeaseEvent.RELEASED, self.slot.lease, token, reason)
        return True

    def _notify_next_candidates(self, token: int) -> None:
        context, lease = self.context, self.slot.lease
        others = context.alive - {context.name}
        for name in candidate_order(lease, others, self.slot.candidates):
            context.send(name, LeaseReleased(lease, token))

    # Voters' answers and release notices

    def receive(
        self, now: int, sender: str, item: VoteGranted | VoteRejected | LeaseStatus | LeaseReleased
    ) -> None:
        """Handle a voter's answer, or the notice that the lease has been released."""
        if isinstance(item, VoteGranted):
            self._receive_vote(now, sender, item)
        elif isinstance(item, VoteRejected):
            self._receive_rejection(now, sender, item)
        elif isinstance(item, LeaseStatus):
            self._receive_status(now, sender, item)
        else:
            self._receive_release_notice(now, item)

    def _receive_rejection(self, now: int, sender: str, item: VoteRejected) -> None:
        self.acquisition.record_rejection(sender, item)
        requesting = self.phase is ParticipationPhase.REQUESTING_VOTES
        if requesting and self.acquisition.cannot_win(self.context.alive):
            self._end_attempt(now)

    def _receive_release_notice(self, now: int, item: LeaseReleased) -> None:
        """Handle the holder's notice that it has released the lease: request votes soon, delayed by rank."""
        self.acquisition.observe_token(item.token)
        if self.phase is ParticipationPhase.IDLE and self._may_request():
            self.fast_retries = FAST_RETRIES
            self.due_at = now + self._stagger()

    def _receive_vote(self, now: int, sender: str, item: VoteGranted) -> None:
        if self.phase not in (ParticipationPhase.REQUESTING_VOTES, ParticipationPhase.HELD):
            return
        if not self.acquisition.record_vote(now, sender, item):
            return
        if self.phase is ParticipationPhase.REQUESTING_VOTES and self.acquisition.is_held(now):
            self._acquire()

    def _acquire(self) -> None:
        self.phase = ParticipationPhase.HELD
        self.known_holder = self.context.name
        self.fast_retries = 0
        self.split_votes = 0
        self.due_at = self.context.align_timer(self.attempt_started_at, self._renewal_interval())
        token = self.acquisition.token
        self.context.on_event(LeaseEvent.ACQUIRED, self.slot.lease, token, "a majority voted")

    def _renewal_interval(self) -> int:
        """Return the µs between renewals of a held lease; status queries are aligned to the same timer."""
        return self.slot.term // 3

    def _receive_status(self, now: int, sender: str, item: LeaseStatus) -> None:
        context = self.context
        self.acquisition.observe_token(item.token)
        if context.voter.voting_quarantine(now):
            context.voter.observe_token(item.lease, item.token)
        if self.phase is ParticipationPhase.QUERYING_STATUS and sender in context.electorate.voters:
            self.statuses[sender] = item
            self._evaluate_statuses(now)

    # Timers

    def advance(self, now: int) -> int:
        """Do what is due; return when something is due next, µs."""
        if self.phase is ParticipationPhase.HELD and not self.acquisition.is_held(now):
            self._lose(now)
        if now >= self.due_at:
            self._run_due_action(now)
        if self.phase is ParticipationPhase.HELD:
            return min(self.due_at, self.acquisition.expires_at())
        return self.due_at

    def _run_due_action(self, now: int) -> None:
        if self.phase is ParticipationPhase.HELD:
            self._send_vote_requests(now)
            self.due_at = self.context.align_timer(now, self._renewal_interval())
        elif self.phase is ParticipationPhase.REQUESTING_VOTES:
            self._end_attempt(now)
        elif not self._may_request():
            self._become_idle(now, self.slot.term)
        elif self.phase is ParticipationPhase.QUERYING_STATUS:
            self._become_idle(now, self.slot.term // 2)
            self._evaluate_statuses(now, timed_out=True)
        elif self.fast_retries:
            self._start_attempt(now)
        else:
            self._query_status(now)

    def _may_request(self) -> bool:
        """Return whether this broker may request the lease: it is a candidate or has requested the lease's
        group, is not stopping, and holds no other slot of the group."""
        context = self.context
        if context.stopping or not context.electorate.voters or context.is_group_taken(self):
            return False
        if self.slot.on_demand:
            return self.slot.group in context.requested_groups
        return context.candidate_rank(self.slot) is not None

    def _query_status(self, now: int) -> None:
        """Ask the voters for the lease's status. If this broker is a voter and its own vote for another is in
        force, wait for that vote to expire instead."""
        vote = self._vote_for_another(now)
        if vote is not None:
            self.known_holder = vote.holder
            self._wait_for_expiry(now, vote.expires_at - now)
            return
        self.phase = ParticipationPhase.QUERYING_STATUS
        self.due_at = now + self._answer_timeout()
        self.statuses.clear()
        for voter in self.context.electorate.voters:
            self.context.send(voter, LeaseStatusRequest(self.slot.lease))

    def _vote_for_another(self, now: int) -> Vote | None:
        """Return this broker's own vote as a voter if it is in force, for another process, and that one's
        broker is alive; else None."""
        context = self.context
        state = context.voter.leases.get(self.slot.lease)
        vote = state.vote_in_force(now) if state is not None else None
        if vote is None or vote.instance_id == context.instance_id or vote.holder not in context.alive:
            return None
        return vote

    def _answer_timeout(self) -> int:
        """Return the µs that voters have to answer a status request or a vote request."""
        return min(self.slot.term // 6, MAX_ANSWER_TIMEOUT)

    def _evaluate_statuses(self, now: int, timed_out: bool = False) -> None:
        """Request votes as soon as a majority is free. Become idle only when all voters alive have answered
        or the query has `timed_out`, since a voter in quarantine may answer before those that are free."""
        electorate, statuses = self.context.electorate, self.statuses
        waits = sorted(map(self._time_until_vote, statuses.values()))
        if len(waits) < electorate.majority:
            return
        self.known_holder = self._holder_from_statuses()
        wait = waits[electorate.majority - 1]
        if wait <= 0:
            self._request_votes_by_rank(now)
        elif timed_out or all(v in statuses for v in electorate.voters if v in self.context.alive):
            self._wait_for_expiry(now, wait)

    def _holder_from_statuses(self) -> str:
        """Return the holder that most voters name if a majority names any, else an empty string."""
        holders = [status.holder for status in self.statuses.values() if status.holder]
        if len(holders) < self.context.electorate.majority:
            return ""
        return max(sorted(set(holders)), key=holders.count)

    def _time_until_vote(self, status: LeaseStatus) -> int:
        """Return the µs until a voter may vote for this process. A vote for a former instance of this broker
        counts as a vote for another process."""
        own = status.holder == self.context.name and self.acquisition.round > 0
        return max(0 if own else status.remaining, status.voting_quarantine)

    def _wait_for_expiry(self, now: int, remaining: int) -> None:
        """Become idle until the votes in force may have expired, then query again."""
        wait = min(remaining + self._stagger(), self.slot.term) + MS
        # If the expiration is far off, query a little early, aligned to the timer; the last query before the
        # expiration determines when votes are requested.
        interval = self._renewal_interval()
        early = (now + wait + self.context.timer_phase) % interval
        self._become_idle(now, wait - early if wait - early > interval // 2 else wait)

    def _request_votes_by_rank(self, now: int) -> None:
        """Request votes at once if this broker is the first candidate; the others wait by their rank."""
        stagger = self._stagger()
        if self.slot.on_demand or not self.context.candidate_rank(self.slot) or self.fast_retries:
            self._start_attempt(now)
        else:
            self.fast_retries = 1
            self._become_idle(now, stagger)

    def _stagger(self) -> int:
        """Return the µs that this broker waits for the candidates before it."""
        rank = self.context.candidate_rank(self.slot) or 0
        return rank * min(self.slot.term // 20, MAX_STAGGER)

    def _start_attempt(self, now: int) -> None:
        self.fast_retries = max(0, self.fast_retries - 1)
        self.phase = ParticipationPhase.REQUESTING_VOTES
        self.attempt_started_at = now
        if self._send_vote_requests(now):
            self.due_at = now + self._answer_timeout()
        else:
            self._become_idle(now, self.slot.term // 2)

    def _send_vote_requests(self, now: int) -> bool:
        """Start a round and send its request to all voters; return whether the voter set may be used."""
        request = self.acquisition.start_round(now)
        if request is None:
            return False
        for voter in self.context.electorate.voters:
            self.context.send(voter, request)
        return True

    def _end_attempt(self, now: int) -> None:
        """End an attempt that can't win or has timed out: release its votes, and retry after a delay that
        depends on the rejections."""
        context, acquisition = self.context, self.acquisition
        rejections = list(acquisition.rejections.values())
        reason = rejections[-1].reason if rejections else "no answer"
        self._send_release()
        context.on_event(LeaseEvent.ACQUISITION_FAILED, self.slot.lease, acquisition.token, reason)
        delay = self._retry_delay(rejections, reason)
        self._become_idle(now, delay + context.jitter(50 * MS))

    def _retry_delay(self, rejections: list[VoteRejected], reason: str) -> int:
        """Return the µs to wait after a failed attempt."""
        term = self.slot.term
        if rejections and all(r.reason == RejectionReason.TOKEN for r in rejections):
            return 0  # the next attempt requests a token above those of the rejections
        if self.fast_retries:
            return 10 * MS + self.context.jitter(30 * MS)
        if reason in VOTER_UNAVAILABLE_REASONS:
            return min(max(r.remaining for r in rejections) or term // 2, term)
        if reason == RejectionReason.HELD:
            # The lease was free when it was queried, so the vote was split. Query again soon, with a random
            # delay so that candidates do not collide again.
            self.split_votes = min(self.split_votes + 1, MAX_SPLIT_VOTES)
            return 10 * MS + self.context.jitter(40 * MS << self.split_votes)
        return term // 6

    def _send_release(self) -> None:
        release = self.acquisition.release()
        for voter in self.context.electorate.voters:
            self.context.send(voter, release)

    def _lose(self, now: int) -> None:
        token = self.acquisition.token
        self._send_release()
        self.known_holder = ""
        self._become_idle(now, self.context.jitter(100 * MS))
        self.context.on_event(LeaseEvent.LOST, self.slot.lease, token, "no majority renewed it in time")

    def _become_idle(self, now: int, duration: int) -> None:
        """Do nothing about the lease for `duration` µs."""
        self.phase = ParticipationPhase.IDLE
        self.due_at = now + duration
