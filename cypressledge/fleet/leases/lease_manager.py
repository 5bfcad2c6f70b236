"""One broker's participation in all leases, and its votes if it is a voter. No I/O.

Callers pass the time in µs, on the clock that leases use. `participation.py` has the logic for a single
lease.
"""

import random
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from msgspec import structs

from cypressledge.fleet.leases.acquisition import LeaseAcquisition
from cypressledge.fleet.leases.electorate import Electorate
from cypressledge.fleet.leases.lease import HeldLease, LeaseEvent, LeaseSlot
from cypressledge.fleet.leases.participation import (
    MS,
    LeaseParticipation,
    ParticipationContext,
    ParticipationPhase,
)
from cypressledge.fleet.leases.voter import Voter
from cypressledge.fleet.messages import (
    AnyItem,
    LeaseItem,
    LeaseStatus,
    LeaseStatusRequest,
    RejectionReason,
    ReleaseLease,
    VoteRejected,
    VoteRequest,
)

TIMER_PHASE_RANGE = 10_000 * MS  # µs; the offsets of brokers' timers are spread over this range
TOKEN_RECOVERY_DELAY = 20 * MS  # µs; from a voter's start to its first status requests for tokens
MAX_TICK_INTERVAL = 1_000 * MS  # µs
EXPECTED_REJECTIONS = (RejectionReason.HELD, RejectionReason.TOKEN)  # competition for a lease; no event


@dataclass(frozen=True, slots=True)
class LeaseSettings:
    """The leases, the bound on the error of clock rates (parts per million), and values of this start.

    Every token granted is above `base_token` (µs of the wall clock). `seed`: for random delays and the offset
    of this broker's timers.
    """

    slots: Sequence[LeaseSlot]
    drift_ppm: int
    base_token: int
    seed: int


class LeaseManager:
    """A broker's participations in all leases, and its votes.

    `send` gets (peer, item); `on_event` gets (event, lease, token, reason).
    """

    def __init__(
        self,
        name: str,
        instance_id: int,
        electorate: Electorate,
        settings: LeaseSettings,
        now: int,
        send: Callable[[str, AnyItem], None],
        on_event: Callable[[LeaseEvent, str, int, str], None],
    ) -> None:
        self.name = name
        self.instance_id = instance_id
        self.drift_ppm = settings.drift_ppm
        self.electorate = electorate
        self.voter = Voter(electorate, now, settings.base_token)
        generator = random.Random(settings.seed)
        self.context = ParticipationContext(
            name=name,
            instance_id=instance_id,
            electorate=electorate,
            voter=self.voter,
            random=generator,
            timer_phase=generator.randrange(TIMER_PHASE_RANGE),
            send=send,
            on_event=on_event,
            alive=frozenset({name}),
        )
        self.participations = self.context.participations
        self.token_recovery_at = now + TOKEN_RECOVERY_DELAY
        self.next_due_at = 0  # µs; no participation is due earlier
        self.set_slots(settings.slots, now)

    @property
    def alive(self) -> frozenset[str]:
        """The brokers that are alive, this one included, as last set by `set_alive`."""
        return self.context.alive

    @property
    def requested_groups(self) -> set[str]:
        """The groups of leases on demand that this broker requests."""
        return self.context.requested_groups

    def set_slots(self, slots: Iterable[LeaseSlot], now: int) -> None:
        """Set the leases. Held leases that are removed are released."""
        by_lease = {slot.lease: slot for slot in slots}
        for lease in [name for name in self.participations if name not in by_lease]:
            self.release(lease, now, "lease removed")
            del self.participations[lease]
        for lease, slot in by_lease.items():
            if lease not in self.participations:
                self.participations[lease] = LeaseParticipation(
                    slot,
                    LeaseAcquisition(lease, self.instance_id, slot.term, self.drift_ppm, self.electorate),
                    self.context,
                    due_at=now + self.context.jitter(200 * MS),
                )
        self.next_due_at = 0

    def set_alive(self, alive: frozenset[str], now: int) -> None:
        """Set the brokers that are alive. A change can change the candidates for leases."""
        context = self.context
        if alive is context.alive:  # the usual case; comparing large sets is slow
            return
        if alive == context.alive:
            return
        context.alive = alive
        context.candidate_orders.clear()
        self.next_due_at = 0
        for participation in self.participations.values():
            if (
                participation.phase is ParticipationPhase.IDLE
                and not participation.slot.on_demand
                and participation.known_holder not in alive
            ):
                participation.due_at = min(participation.due_at, now + context.jitter(100 * MS))

    def stop(self) -> None:
        """Stop requesting leases."""
        self.context.stopping = True

    # Queries and commands of operators and tasks

    def candidates(self, lease: str) -> list[str]:
        """Return the candidates for a lease among the brokers alive, first to last."""
        return self.context.candidates(self.participations[lease].slot)

    def candidate_rank(self, lease: str) -> int | None:
        """Return this broker's place among a lease's candidates, from 0; None if it is not one."""
        return self.context.candidate_rank(self.participations[lease].slot)

    def known_holder(self, lease: str, now: int) -> str:
        """Return the last known holder of a lease; empty if none is known."""
        participation = self.participations[lease]
        if participation.acquisition.is_held(now):
            return self.name
        state = self.voter.leases.get(lease)
        if state is not None and state.vote is not None and now < state.vote.expires_at:
            return state.vote.holder
        return participation.known_holder if participation.known_holder != self.name else ""

    def held_leases(self, now: int) -> list[HeldLease]:
        """Return all leases that are held now."""
        return [held for p in self.participations.values() if (held := p.held_lease(now)) is not None]

    def held_lease(self, lease: str, now: int) -> HeldLease | None:
        """Return a lease if it is held now, else None."""
        participation = self.participations.get(lease)
        return None if participation is None else participation.held_lease(now)

    def request(self, group: str, now: int) -> bool:
        """Request a lease on demand; return whether a lease of this name exists."""
        requested = [p for p in self.participations.values() if p.slot.group == group and p.slot.on_demand]
        self.requested_groups.add(group)
        for participation in requested:
            participation.due_at = min(participation.due_at, now)
        self.next_due_at = 0
        return bool(requested)

    def withdraw_request(self, group: str) -> None:
        """Stop requesting a lease on demand. If it is held, it stays held."""
        self.requested_groups.discard(group)

    def release_group(self, group: str, now: int) -> None:
        """Stop requesting a lease on demand, and release it if it is held."""
        self.withdraw_request(group)
        for participation in self.participations.values():
            if participation.slot.group == group:
                self.release(participation.slot.lease, now, "request withdrawn")

    def release(self, lease: str, now: int, reason: str, cooldown: int = 0) -> bool:
        """Release a lease and notify the next candidates; return whether it was held. The work under it must
        have ended. `cooldown`: µs in which this broker does not request it again."""
        participation = self.participations.get(lease)
        if participation is None or participation.phase is ParticipationPhase.IDLE:
            return False
        self.next_due_at = 0
        return participation.release(now, reason, cooldown)

    def token_rejected(self, lease: str, token: int, now: int) -> None:
        """Handle a resource's rejection of this broker's token, with the higher `token` that the resource
        knows: release the lease, and acquire it under a token above that."""
        participation = self.participations.get(lease)
        if participation is not None:
            self.release(lease, now, f"token rejected: {token} is known there")
            participation.acquisition.observe_token(token)
            participation.due_at = now
            self.next_due_at = 0

    def is_requesting_votes(self) -> bool:
        """Return whether this broker is requesting votes for any lease that it does not hold."""
        return any(p.phase is ParticipationPhase.REQUESTING_VOTES for p in self.participations.values())

    # Messages

    def receive(self, now: int, sender: str, item: LeaseItem) -> None:
        """Handle a lease message of a peer whose messages are accepted."""
        if isinstance(item, VoteRequest):
            self._vote(now, sender, item)
        elif isinstance(item, LeaseStatusRequest):
            self.context.send(sender, self._status(now, item))
        elif isinstance(item, ReleaseLease):
            self.voter.release(item)
        elif (participation := self.participations.get(item.lease)) is not None:
            participation.receive(now, sender, item)
            self.next_due_at = min(self.next_due_at, participation.due_at)

    def _vote(self, now: int, sender: str, request: VoteRequest) -> None:
        answer = self.voter.vote(now, sender, request)
        if answer is None:
            return
        self.context.send(sender, answer)
        if isinstance(answer, VoteRejected) and answer.reason not in EXPECTED_REJECTIONS:
            self.context.on_event(LeaseEvent.VOTE_REJECTED, request.lease, request.token, answer.reason)

    def _status(self, now: int, request: LeaseStatusRequest) -> LeaseStatus:
        """Return a lease's status, with the highest token that this broker knows as voter or requester."""
        status = self.voter.status(now, request)
        participation = self.participations.get(request.lease)
        if participation is None or participation.acquisition.highest_token <= status.token:
            return status
        return structs.replace(status, token=participation.acquisition.highest_token)

    # Timers

    def tick(self, now: int) -> int:
        """Do what is due; return when the next tick is due, µs."""
        self._recover_tokens(now)
        if now < self.next_due_at:
            return self.next_due_at
        next_due_at = now + MAX_TICK_INTERVAL
        for participation in self.participations.values():
            next_due_at = min(next_due_at, participation.advance(now))
        self.next_due_at = max(next_due_at, now + MS)
        return self.next_due_at

    def _recover_tokens(self, now: int) -> None:
        """Ask all brokers for the tokens of leases while in quarantine: a voter stores nothing on disk, so it
        knows no tokens after a start."""
        remaining = self.voter.voting_quarantine(now)
        if not remaining or self.name not in self.electorate.voters or now < self.token_recovery_at:
            return
        self.token_recovery_at = now + max(remaining // 3, 100 * MS)
        for name in sorted(self.alive - {self.name}):
            for lease in self.participations:
                self.context.send(name, LeaseStatusRequest(lease))
